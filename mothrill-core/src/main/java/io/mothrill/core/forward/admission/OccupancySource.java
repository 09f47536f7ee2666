package io.mothrill.core.forward.admission;

/** Estimates how much of a service is in use. */
@FunctionalInterface
public interface OccupancySource {

  /**
   * Estimates the current occupancy.
   *
   * @param service the service's name
   * @param nowMs the current time
   * @return the occupancy
   */
  Occupancy read(String service, long nowMs);
}
