package io.mothrill.core.claim;

import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.Rendezvous;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.request.RequestKey;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/** Divides keys into ranges, and ranks the instances for each. */
final class KeyRanges {

  /** How many ranges there are; a loss of owner and backup together stops one in so many keys. */
  static final int COUNT = 64;

  private KeyRanges() {}

  static int of(RequestKey key) {
    byte[] bytes = key.toString().getBytes(StandardCharsets.UTF_8);
    return Math.floorMod(MurmurHash3.hash32x86(bytes), COUNT);
  }

  /** Ranks instances for a range; the first is the owner to be. */
  static List<InstanceRecord> rank(int range, Membership view) {
    return Rendezvous.rank("claims/" + range, view.staying());
  }

  /**
   * Chooses a backup: one in the owner's failure domain where there is one, so that a domain that
   * is cut off goes on serving its ranges.
   */
  static List<InstanceRecord> backups(int range, Membership view) {
    String domain = view.self().domain();
    return rank(range, view).stream()
        .filter(instance -> !view.isSelf(instance) && view.isReachable(instance))
        .sorted(Comparator.comparing(instance -> !instance.domain().equals(domain)))
        .toList();
  }
}
