package io.mothrill.core.forward.limit;

/**
 * The share of one instance in what all instances together may cause at one upstream.
 *
 * @param instances the number of instances
 * @param rank the place of this instance among them, in an order that all of them derive alike
 * @param calculatedMs the time of the calculation
 */
record FleetShare(int instances, int rank, long calculatedMs) {

  /** Splits a total among all instances; the first ones get what is left over. */
  int of(int total) {
    return total / instances + (rank < total % instances ? 1 : 0);
  }
}
