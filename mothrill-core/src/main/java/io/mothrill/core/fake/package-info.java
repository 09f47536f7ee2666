/** In-memory fakes of the ports, also for the tests of embedders. */
package io.mothrill.core.fake;
