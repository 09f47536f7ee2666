package io.mothrill.core.forward.crash;

import io.mothrill.core.platform.InstanceRecord;
import java.util.List;

/** Sends crash records to other instances; messages may be lost. */
@FunctionalInterface
public interface CrashMessageSender {

  /**
   * Sends one message.
   *
   * @param message the message
   * @param to the recipients
   */
  void send(CrashMessage message, List<InstanceRecord> to);
}
