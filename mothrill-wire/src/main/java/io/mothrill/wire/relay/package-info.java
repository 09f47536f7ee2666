/**
 * Connections to upstreams that pass through another instance, for an instance whose own path is
 * broken.
 *
 * <p>Only bytes are relayed. The instance that has accepted the caller keeps the request: it
 * chooses the upstream, reserves tokens, counts against limits and decides about retries.
 */
package io.mothrill.wire.relay;
