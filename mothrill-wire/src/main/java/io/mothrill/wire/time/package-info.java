/** The timer service on Netty's event loops. */
package io.mothrill.wire.time;
