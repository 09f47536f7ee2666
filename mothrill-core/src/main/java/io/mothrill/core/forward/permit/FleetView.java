package io.mothrill.core.forward.permit;

import io.mothrill.core.platform.InstanceRecord;
import java.util.List;

/** Who the other instances are, as far as this one knows. */
public interface FleetView {

  /**
   * Lists the other instances.
   *
   * @return those that are there
   */
  List<InstanceRecord> others();

  /**
   * Says whether the list holds for this moment: it was read lately, and the others have had the
   * time to read of this instance.
   *
   * @return false after the start, and while the store is out of reach
   */
  boolean isCurrent();
}
