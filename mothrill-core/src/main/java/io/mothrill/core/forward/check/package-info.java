/** Checks that every request must pass before it is sent to an upstream. */
package io.mothrill.core.forward.check;
