/** Measures the work of connections. */
package io.mothrill.wire.work;
