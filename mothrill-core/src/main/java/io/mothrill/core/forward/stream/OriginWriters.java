package io.mothrill.core.forward.stream;

import io.mothrill.core.peer.RendezvousHash;
import io.mothrill.core.platform.InstanceRecord;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Selects the instances that write the origins of streams to the platform's table.
 *
 * <p>The table allows some hundred writes per second in a fleet of any size, so the streams of each
 * failure domain are split into few partitions, each with one writer.
 */
final class OriginWriters {

  /** Instances whose streams one writer records; about a thousand streams per second. */
  private static final int INSTANCES_PER_PARTITION = 64;

  private final InstanceRecord self;
  private final Supplier<List<InstanceRecord>> others;

  OriginWriters(InstanceRecord self, Supplier<List<InstanceRecord>> others) {
    this.self = self;
    this.others = others;
  }

  /** Returns the instance that writes the origins of streams that this instance begins. */
  InstanceRecord writerOf(String requestId) {
    return writerIn(ownDomain(), requestId);
  }

  /** Checks whether this instance writes the origin of a stream that it is told of. */
  boolean isWriterOf(String requestId) {
    return writerOf(requestId).equals(self);
  }

  /** Returns the writers that may have written or read the origin of a stream. */
  List<InstanceRecord> toAsk(String requestId) {
    return domains().values().stream()
        .map(domain -> writerIn(domain, requestId))
        .filter(writer -> !writer.equals(self))
        .toList();
  }

  private static InstanceRecord writerIn(List<InstanceRecord> domain, String requestId) {
    return writer(domain, partitionOf(domain, requestId));
  }

  /** Returns the partition of a stream that begins in the domain of this instance. */
  String partitionOf(String requestId) {
    return partitionOf(ownDomain(), requestId);
  }

  private static String partitionOf(List<InstanceRecord> domain, String requestId) {
    return name(domain, Math.floorMod(requestId.hashCode(), partitionCount(domain)));
  }

  private static String name(List<InstanceRecord> domain, int number) {
    return domain.get(0).domain() + "/" + number + "/";
  }

  private static InstanceRecord writer(List<InstanceRecord> domain, String partition) {
    return RendezvousHash.rank(partition, domain).get(0);
  }

  private static int partitionCount(List<InstanceRecord> domain) {
    return (domain.size() + INSTANCES_PER_PARTITION - 1) / INSTANCES_PER_PARTITION;
  }

  /** Returns the partitions that this instance writes. */
  List<String> ownPartitions() {
    List<InstanceRecord> domain = ownDomain();
    return IntStream.range(0, partitionCount(domain))
        .mapToObj(number -> name(domain, number))
        .filter(partition -> writer(domain, partition).equals(self))
        .toList();
  }

  /** Returns the number of writers in the fleet. */
  int writerCount() {
    return domains().values().stream().mapToInt(OriginWriters::partitionCount).sum();
  }

  private List<InstanceRecord> ownDomain() {
    return Stream.concat(
            Stream.of(self),
            others.get().stream().filter(other -> other.domain().equals(self.domain())))
        .toList();
  }

  private Map<String, List<InstanceRecord>> domains() {
    return Stream.of(others.get(), List.of(self))
        .flatMap(Collection::stream)
        .collect(Collectors.groupingBy(InstanceRecord::domain));
  }
}
