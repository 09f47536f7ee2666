/**
 * Prepaid tokens for forwarded requests. Each instance spends below a bound that is defined by its
 * row in the platform's table, and that rises while the table is unreachable.
 */
package io.mothrill.core.forward.spending;
