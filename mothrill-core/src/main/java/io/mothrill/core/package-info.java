/**
 * The decision logic of mothrill: budgets, requests, routing, configuration, membership and drain.
 */
package io.mothrill.core;
