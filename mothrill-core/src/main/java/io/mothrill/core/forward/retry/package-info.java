/** Limits on retries, over all instances together. */
package io.mothrill.core.forward.retry;
