/** The timer service, the library's only source of time. */
package io.mothrill.core.time;
