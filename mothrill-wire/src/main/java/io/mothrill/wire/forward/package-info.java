/**
 * Forwards HTTP requests: caller connections, upstream connections and the exchange between them.
 */
package io.mothrill.wire.forward;
