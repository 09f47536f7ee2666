/** Limits the memory that is held for callers and upstreams that read slowly. */
package io.mothrill.core.forward.buffer;
