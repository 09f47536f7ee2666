/** Graceful shutdown of an instance without interrupting a request. */
package io.mothrill.core.drain;
