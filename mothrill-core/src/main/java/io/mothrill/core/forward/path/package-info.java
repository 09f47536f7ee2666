/**
 * The network paths from this instance to upstreams.
 *
 * <p>A failed connection shows something about the path on which it was tried. Whether the upstream
 * at its end has failed too is decided by asking an instance that has another path.
 */
package io.mothrill.core.forward.path;
