/** The blackboard: immutable sections that controllers publish and request threads read. */
package io.mothrill.core.board;
