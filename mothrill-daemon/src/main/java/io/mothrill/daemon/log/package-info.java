/**
 * Structured logs on standard output: one JSON object per line, written through a bounded queue
 * without blocking.
 */
package io.mothrill.daemon.log;
