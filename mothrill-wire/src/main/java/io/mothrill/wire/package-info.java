/** Netty edges and clients: callers, upstreams, operators, peers and the platform. */
package io.mothrill.wire;
