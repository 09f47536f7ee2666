/** Calls to upstreams over HTTP. */
package io.mothrill.wire.upstream;
