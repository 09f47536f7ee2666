/** How TCP connections end, which decides whether what was received on them is complete. */
package io.mothrill.wire.connection;
