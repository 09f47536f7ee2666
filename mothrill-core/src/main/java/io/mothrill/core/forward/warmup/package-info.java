/** Upstreams that have just started: which they are, and how much each may be sent. */
package io.mothrill.core.forward.warmup;
