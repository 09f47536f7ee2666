/** Determines for which services decisions under load are active. */
package io.mothrill.core.forward.load;
