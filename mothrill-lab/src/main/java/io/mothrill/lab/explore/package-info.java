/** Random interleavings of faults, checked against what must always hold. */
package io.mothrill.lab.explore;
