/** An in-memory cluster of nodes with fault injection into network, platform and upstreams. */
package io.mothrill.lab.fleet;
