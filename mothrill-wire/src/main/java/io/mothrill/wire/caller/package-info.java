/** The HTTP server for callers. */
package io.mothrill.wire.caller;
