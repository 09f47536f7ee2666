package io.mothrill.core.range;

import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.Rendezvous;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.request.CallPlanner;
import io.mothrill.core.request.RequestKey;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Divides keys into ranges, and ranks the instances for each.
 *
 * <p>A key that an instance minted belongs to a range of that instance's failure domain, so that a
 * domain which is cut off decides about its own requests. A caller's key may come back anywhere and
 * belongs to a range of the whole fleet.
 */
public final class KeyRanges {

  /** How many ranges each failure domain has, and the whole fleet has. */
  static final int COUNT = 64;

  private static final String WHOLE_FLEET = "fleet";

  private KeyRanges() {}

  /**
   * Finds the range of a key.
   *
   * @param key the key
   * @return the range's name
   */
  public static String of(RequestKey key) {
    byte[] bytes = key.toString().getBytes(StandardCharsets.UTF_8);
    int number = Math.floorMod(MurmurHash3.hash32x86(bytes), COUNT);
    return scopeOf(key.key()) + "~" + number;
  }

  private static String scopeOf(String key) {
    if (key.startsWith(CallPlanner.MINTED)) {
      int end = key.indexOf(CallPlanner.MINTED, 1);
      if (end > 1) {
        return key.substring(1, end);
      }
    }
    return WHOLE_FLEET;
  }

  /** Lists the ranges of the whole fleet and of one failure domain. */
  static List<String> allOf(String domain) {
    return Stream.of(WHOLE_FLEET, domain)
        .flatMap(scope -> IntStream.range(0, COUNT).mapToObj(number -> scope + "~" + number))
        .toList();
  }

  /** Ranks instances for a range; the first is the owner to be. */
  static List<InstanceRecord> rank(String range, Membership view) {
    String scope = range.substring(0, range.indexOf('~'));
    return Rendezvous.rank(range, view.staying()).stream()
        .sorted(Comparator.comparing(instance -> !instance.domain().equals(scope)))
        .toList();
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
