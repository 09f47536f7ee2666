package io.mothrill.core.forward.stream;

import io.mothrill.core.platform.InstanceRecord;
import java.util.List;

/** Sends messages about the origins of streams. */
@FunctionalInterface
public interface StreamNoticeSender {

  /**
   * Sends a message.
   *
   * @param notice the message
   * @param to the recipients
   */
  void send(StreamNotice notice, List<InstanceRecord> to);
}
