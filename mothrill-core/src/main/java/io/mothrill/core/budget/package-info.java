/**
 * Prepaid budgets: tokens are reserved before a request is sent and billed after it ran.
 *
 * <p>Every token that may be spent is in exactly one pool of exactly one instance, and every pool
 * belongs to an allotment that the platform's table granted within the paid tokens. Overspending is
 * therefore impossible under any network partition between the instances.
 */
package io.mothrill.core.budget;
