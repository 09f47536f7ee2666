/**
 * The upstreams that requests are forwarded to: who is there, how loaded, and which one to take.
 */
package io.mothrill.core.forward.upstream;
