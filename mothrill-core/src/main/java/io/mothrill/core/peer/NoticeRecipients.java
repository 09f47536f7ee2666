package io.mothrill.core.peer;

import io.mothrill.core.platform.InstanceRecord;
import java.util.List;
import java.util.stream.IntStream;

/** Selects the instances that receive the notices of an instance about its requests. */
public final class NoticeRecipients {

  /**
   * The maximum number of recipients of a notice. With more, sending the notices would cost each
   * instance more than a long prompt does.
   */
  public static final int MAX_COUNT = 80;

  private NoticeRecipients() {}

  /**
   * Selects the recipients: consecutive instances, starting at a position that depends on the
   * sender.
   *
   * <p>If all senders started at the first instance, the last instances of a fleet with more than
   * the maximum number of recipients would never get a notice, and would send their prompts to busy
   * engines.
   *
   * @param peers the other instances
   * @param host the IP address of the sender
   * @return the recipients
   */
  public static List<InstanceRecord> select(List<InstanceRecord> peers, String host) {
    int first = peers.isEmpty() ? 0 : Math.floorMod(host.hashCode(), peers.size());
    return IntStream.range(first, first + Math.min(MAX_COUNT, peers.size()))
        .mapToObj(place -> peers.get(place % peers.size()))
        .toList();
  }
}
