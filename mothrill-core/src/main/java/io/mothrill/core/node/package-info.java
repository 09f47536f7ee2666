/** Assembles an instance from its components and ports, for daemons, embedders and tests. */
package io.mothrill.core.node;
