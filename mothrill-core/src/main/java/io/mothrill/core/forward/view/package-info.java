/** Keeps this instance's view of what is declared and who is there up to date. */
package io.mothrill.core.forward.view;
