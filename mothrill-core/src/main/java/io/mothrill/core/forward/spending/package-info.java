/**
 * Prepaid tokens for forwarded requests: each instance spends below a bound that its row in the
 * platform's table gives, and that opens while the table cannot be reached.
 */
package io.mothrill.core.forward.spending;
