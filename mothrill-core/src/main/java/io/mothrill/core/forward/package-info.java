/** Forwarding of unmodified plain requests to upstreams that register themselves. */
package io.mothrill.core.forward;
