/** Determines which received requests an instance starts while it is short of processor time. */
package io.mothrill.core.forward.overload;
