/** Forwarding: plain requests passed on as they are, to upstreams that register themselves. */
package io.mothrill.core.forward;
