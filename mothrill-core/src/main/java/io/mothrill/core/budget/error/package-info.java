/** Errors of the budget layer. */
package io.mothrill.core.budget.error;
