/** Keeps streams at the software version that brought their first event. */
package io.mothrill.core.forward.stream;
