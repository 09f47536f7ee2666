/** Leases of places at upstreams that bear few rejections, granted by one instance for all. */
package io.mothrill.core.forward.lease;
