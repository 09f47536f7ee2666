/** Forwarding over HTTP: callers' connections, upstreams' connections and what goes between. */
package io.mothrill.wire.forward;
