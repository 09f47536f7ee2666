/** Random interleavings of calls and faults, with a check of invariants. */
package io.mothrill.lab.explore;
