package io.mothrill.core.forward.crash;

import io.mothrill.core.platform.InstanceRecord;
import java.util.List;

/** Sends what is known of requests to other instances; what it sends may be lost. */
@FunctionalInterface
public interface CrashMessageSender {

  /**
   * Sends one message.
   *
   * @param message what to tell
   * @param to the instances that get it
   */
  void send(CrashMessage message, List<InstanceRecord> to);
}
