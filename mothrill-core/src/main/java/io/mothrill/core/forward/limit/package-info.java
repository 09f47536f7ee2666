/** Upstreams that name how many requests a second they take from all instances together. */
package io.mothrill.core.forward.limit;
