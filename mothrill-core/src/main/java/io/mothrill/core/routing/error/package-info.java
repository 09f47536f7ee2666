/** Errors of the routing layer. */
package io.mothrill.core.routing.error;
