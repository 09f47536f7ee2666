/** Tracks the tokens that engines are asked to hold, so that none exceeds its memory. */
package io.mothrill.core.forward.capacity;
