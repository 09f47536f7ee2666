package io.mothrill.core.forward.lease;

import io.mothrill.core.platform.InstanceRecord;

/** Sends messages about leases to other instances; messages may be lost. */
@FunctionalInterface
public interface LeaseMessageSender {

  /**
   * Sends one message.
   *
   * @param message the message
   * @param to the recipient
   */
  void send(LeaseMessage message, InstanceRecord to);
}
