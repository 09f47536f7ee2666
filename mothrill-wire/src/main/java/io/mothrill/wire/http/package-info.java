/** HTTP by Netty's codec: a streaming client with a connection pool, and a small server. */
package io.mothrill.wire.http;
