package io.mothrill.core.forward.stream;

import io.mothrill.core.peer.RendezvousHash;
import io.mothrill.core.platform.InstanceRecord;
import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Selects the instances that record the origin of a stream, by rendezvous hashing of its id.
 *
 * <p>The instance that began a stream is mostly the one that has died when the stream is taken up
 * again, so others hold the record: two in its failure domain, in which callers mostly stay, and
 * one outside, in case the domain is cut off.
 */
final class OriginHolders {

  private static final int OWN_DOMAIN = 2;
  private static final int ALL = 3;

  private final InstanceRecord self;
  private final Supplier<List<InstanceRecord>> others;

  OriginHolders(InstanceRecord self, Supplier<List<InstanceRecord>> others) {
    this.self = self;
    this.others = others;
  }

  /** Returns the instances to record an origin at. */
  List<InstanceRecord> toRecordAt(String requestId) {
    List<InstanceRecord> ranked = RendezvousHash.rank(requestId, others.get());
    List<InstanceRecord> ownDomain =
        ranked.stream()
            .filter(other -> other.domain().equals(self.domain()))
            .limit(OWN_DOMAIN)
            .toList();
    Stream<InstanceRecord> outside =
        ranked.stream().filter(other -> !other.domain().equals(self.domain()));
    return Stream.concat(ownDomain.stream(), outside.limit(ALL - ownDomain.size())).toList();
  }

  /**
   * Returns the instances that may hold a record: in each domain one more than record it, as the
   * instance that began the stream is not among its own holders.
   */
  List<InstanceRecord> toAsk(String requestId) {
    return others.get().stream()
        .collect(Collectors.groupingBy(InstanceRecord::domain))
        .values()
        .stream()
        .map(domain -> RendezvousHash.rank(requestId, domain).stream().limit(ALL + 1).toList())
        .flatMap(Collection::stream)
        .toList();
  }
}
