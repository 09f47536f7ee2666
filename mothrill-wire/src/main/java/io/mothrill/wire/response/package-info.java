/** How the bytes of a connection are attributed to the responses that were asked for on it. */
package io.mothrill.wire.response;
