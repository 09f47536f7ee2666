/** In-memory fakes of the ports, which embedders may use in their own tests. */
package io.mothrill.core.fake;
