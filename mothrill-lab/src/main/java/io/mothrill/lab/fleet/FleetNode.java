package io.mothrill.lab.fleet;

import io.mothrill.core.fake.FaultInjector;
import io.mothrill.core.node.Node;
import io.mothrill.core.platform.InstanceRecord;

/** A node of a fleet, with control over its simulated process. */
public final class FleetNode {

  private final InstanceRecord record;
  private final Node node;
  private final NodeClock clock;
  private final FaultInjector platformFaults;

  FleetNode(InstanceRecord record, Node node, NodeClock clock, FaultInjector platformFaults) {
    this.record = record;
    this.node = node;
    this.clock = clock;
    this.platformFaults = platformFaults;
  }

  /**
   * Returns the record of the instance.
   *
   * @return the record
   */
  public InstanceRecord record() {
    return record;
  }

  /**
   * Returns the node itself.
   *
   * @return the node
   */
  public Node node() {
    return node;
  }

  /**
   * Returns the faults that are injected between this node and the platform.
   *
   * @return the faults
   */
  public FaultInjector platformFaults() {
    return platformFaults;
  }

  /** Kills the process. */
  public void kill() {
    clock.kill();
  }

  /** Suspends the process, as SIGSTOP does. */
  public void suspend() {
    clock.suspend();
  }

  /** Resumes the process. */
  public void resume() {
    clock.resume();
  }

  /**
   * Checks whether the process was killed.
   *
   * @return true after {@link #kill}
   */
  public boolean isKilled() {
    return clock.isKilled();
  }

  Network.Location location() {
    return Network.Location.of(record.id(), record.domain());
  }

  NodeClock clock() {
    return clock;
  }
}
