/**
 * Requests under which upstreams crash: what is kept of them, when they are refused, and how all
 * instances learn of it.
 */
package io.mothrill.core.forward.crash;
