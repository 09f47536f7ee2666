/** The upstreams that requests are forwarded to: registration, load and selection. */
package io.mothrill.core.forward.upstream;
