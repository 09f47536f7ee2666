/** Checks the platform's books: what was paid, granted and billed. */
package io.mothrill.core.audit;
