/** Nodes in memory, with a network, a platform and upstreams that fail on demand. */
package io.mothrill.lab.fleet;
