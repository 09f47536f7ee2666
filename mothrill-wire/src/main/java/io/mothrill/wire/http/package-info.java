/** HTTP on Netty's codec: a streaming client with a connection pool, and a simple server. */
package io.mothrill.wire.http;
