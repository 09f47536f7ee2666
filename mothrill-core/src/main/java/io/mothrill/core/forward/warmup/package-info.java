/** Upstreams that are warming up after a start, and the rate limits for them. */
package io.mothrill.core.forward.warmup;
