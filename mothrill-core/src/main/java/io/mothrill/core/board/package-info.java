/** Immutable values that controllers publish and request threads read without locking. */
package io.mothrill.core.board;
