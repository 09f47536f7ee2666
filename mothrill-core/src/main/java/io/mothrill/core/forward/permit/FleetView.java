package io.mothrill.core.forward.permit;

import io.mothrill.core.platform.InstanceRecord;
import java.util.List;

/** This instance's view of the other instances. */
public interface FleetView {

  /**
   * Lists the other instances.
   *
   * @return the instances that are registered
   */
  List<InstanceRecord> others();

  /**
   * Checks whether the list is current: it was read recently, and the other instances have had time
   * to read the registration of this one.
   *
   * @return false after the start and while the store is unreachable
   */
  boolean isCurrent();

  /**
   * Returns the age of the registration of this instance, which others drop when it gets too old.
   *
   * @return milliseconds since the last renewal; very large if there was none
   */
  long registrationAgeMs();
}
