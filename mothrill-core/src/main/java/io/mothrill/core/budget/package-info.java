/**
 * Prepaid budgets: tokens are reserved before a request is sent and billed after it ran.
 *
 * <p>Every token that may be spent lies in exactly one pool of exactly one instance, and every pool
 * belongs to an allotment that the platform's table has granted within what was paid. Overspend is
 * therefore impossible however the instances are cut off from each other.
 */
package io.mothrill.core.budget;
