/** Distributes the rate limits of upstreams between all instances. */
package io.mothrill.core.forward.permit;
