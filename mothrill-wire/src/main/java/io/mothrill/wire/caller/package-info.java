/** The edge towards callers. */
package io.mothrill.wire.caller;
