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
 * Divides callers' keys into ranges, and ranks the instances for each.
 *
 * <p>A caller's key may come back at any instance, so every instance finds the same range for it.
 */
public final class KeyRanges {

  /** How many ranges there are; each change of owner moves one of them. */
  static final int COUNT = 256;

  private static final String PREFIX = "keys~";

  private KeyRanges() {}

  /**
   * Finds the range of a key.
   *
   * @param key the key
   * @return the range's name
   */
  public static String of(RequestKey key) {
    byte[] bytes = key.toString().getBytes(StandardCharsets.UTF_8);
    return PREFIX + Math.floorMod(MurmurHash3.hash32x86(bytes), COUNT);
  }

  static List<String> all() {
    return IntStream.range(0, COUNT).mapToObj(number -> PREFIX + number).toList();
  }

  /** Ranks instances for a range; the first is the owner to be. */
  static List<InstanceRecord> rank(String range, Membership view) {
    return RendezvousHash.rank(range, view.activeInstances());
  }

  /**
   * Ranks the instances that may be the backup of a range owned here; those in the owner's failure
   * domain come first, so that a domain that is cut off goes on deciding.
   */
  static List<InstanceRecord> backups(String range, Membership view) {
    String domain = view.self().domain();
    return rank(range, view).stream()
        .filter(instance -> !view.isSelf(instance) && view.isReachable(instance))
        .sorted(Comparator.comparing(instance -> !instance.domain().equals(domain)))
        .toList();
  }
}
