/** Structured logs on standard output: one JSON object a line, bounded, never blocking. */
package io.mothrill.daemon.log;
