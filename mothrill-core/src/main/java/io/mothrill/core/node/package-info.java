/** One instance's parts put together from ports, for daemons, embedders and tests. */
package io.mothrill.core.node;
