package io.mothrill.lab.fleet;

import io.mothrill.core.fake.FaultInjector;
import io.mothrill.core.node.Node;
import io.mothrill.core.platform.InstanceRecord;

/** One node of a fleet, with the switches of its process. */
public final class FleetNode {

  private final InstanceRecord record;
  private final Node node;
  private final NodeClock clock;
  private final FaultInjector platformWay;

  FleetNode(InstanceRecord record, Node node, NodeClock clock, FaultInjector platformWay) {
    this.record = record;
    this.node = node;
    this.clock = clock;
    this.platformWay = platformWay;
  }

  /**
   * Gives the instance's record.
   *
   * @return the record
   */
  public InstanceRecord record() {
    return record;
  }

  /**
   * Gives the decisions.
   *
   * @return the node
   */
  public Node node() {
    return node;
  }

  /**
   * Gives the faults of this node's way to the platform.
   *
   * @return the faults
   */
  public FaultInjector platformWay() {
    return platformWay;
  }

  /** Ends the process at once. */
  public void kill() {
    clock.kill();
  }

  /** Stops the process without ending it. */
  public void freeze() {
    clock.freeze();
  }

  /** Lets the process go on. */
  public void thaw() {
    clock.thaw();
  }

  /**
   * Says whether the process has ended.
   *
   * @return true after {@link #kill}
   */
  public boolean isDead() {
    return clock.isDead();
  }

  Network.Place place() {
    return Network.Place.of(record.id(), record.domain());
  }

  NodeClock clock() {
    return clock;
  }
}
