package io.mothrill.core.request;

import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.Rendezvous;
import io.mothrill.core.platform.InstanceRecord;
import java.util.ArrayList;
import java.util.List;

/** Finds the two instances that keep the record of a key. */
final class Homes {

  private Homes() {}

  /**
   * Ranks the homes of a key.
   *
   * <p>All instances that know the same fleet find the same homes. The first two stand in the key's
   * home domain where it has two instances; otherwise the second one stands in another domain.
   *
   * @return the first home and, when there is another instance, the second
   */
  static List<InstanceRecord> of(RequestKey key, Membership view) {
    String domain = domainOf(key, view);
    List<InstanceRecord> homes =
        new ArrayList<>(Rendezvous.rank(key.toString(), view.stayingIn(domain)));
    Rendezvous.rank(key.toString(), view.staying()).stream()
        .filter(instance -> !homes.contains(instance))
        .forEach(homes::add);
    return homes.subList(0, Math.min(2, homes.size()));
  }

  private static String domainOf(RequestKey key, Membership view) {
    List<String> domains =
        view.staying().stream().map(InstanceRecord::domain).distinct().sorted().toList();
    if (key.key().startsWith(CallPlanner.MINTED)) {
      String minted = key.key().substring(1);
      int end = minted.indexOf(CallPlanner.MINTED);
      if (end > 0 && domains.contains(minted.substring(0, end))) {
        return minted.substring(0, end);
      }
    }
    return Rendezvous.rankNames(key.toString(), domains).stream()
        .findFirst()
        .orElse(view.self().domain());
  }
}
