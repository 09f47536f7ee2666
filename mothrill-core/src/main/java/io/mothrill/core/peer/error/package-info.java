/** Errors of the peer layer. */
package io.mothrill.core.peer.error;
