/** Rate limits that upstreams announce, in requests per second from all instances together. */
package io.mothrill.core.forward.limit;
