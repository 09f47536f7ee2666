/** The client for upstreams over HTTP. */
package io.mothrill.wire.upstream;
