/** The timer service: the only source of time for every part of the library. */
package io.mothrill.core.time;
