package io.mothrill.core.range;

import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.RendezvousHash;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.request.RequestKey;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Divides the keys of callers into ranges and ranks the instances for each range.
 *
 * <p>A retry with the same key may arrive at any instance, so every instance maps a key to the same
 * range.
 */
public final class KeyRanges {

  /** The number of ranges. Each change of owner moves one of them. */
  static final int COUNT = 256;

  private static final String PREFIX = "keys~";

  private KeyRanges() {}

  /**
   * Returns the range of a key.
   *
   * @param key the key
   * @return the name of the range
   */
  public static String of(RequestKey key) {
    byte[] bytes = key.toString().getBytes(StandardCharsets.UTF_8);
    return PREFIX + Math.floorMod(MurmurHash3.hash32x86(bytes), COUNT);
  }

  static List<String> all() {
    return IntStream.range(0, COUNT).mapToObj(number -> PREFIX + number).toList();
  }

  /** Ranks the instances for a range. The first one is the preferred owner. */
  static List<InstanceRecord> rank(String range, Membership view) {
    return RendezvousHash.rank(range, view.activeInstances());
  }

  /**
   * Ranks the instances that may be the backup of a range owned by this instance. Those in the same
   * failure domain come first, so that a failure domain that is partitioned from the others
   * continues to decide.
   */
  static List<InstanceRecord> backups(String range, Membership view) {
    String domain = view.self().domain();
    return rank(range, view).stream()
        .filter(instance -> !view.isSelf(instance) && view.isReachable(instance))
        .sorted(Comparator.comparing(instance -> !instance.domain().equals(domain)))
        .toList();
  }
}
