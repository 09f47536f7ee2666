/** Netty servers and clients for callers, upstreams, operators, peers and the platform. */
package io.mothrill.wire;
