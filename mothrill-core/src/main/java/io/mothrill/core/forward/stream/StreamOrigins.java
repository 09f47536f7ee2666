package io.mothrill.core.forward.stream;

import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Records which software version began each stream that may be taken up again, and finds it out for
 * callers that take one up, mostly at another instance.
 *
 * <pre>{@code
 * StreamPin pin = origins.pin("a1", 12_000, Optional.empty());
 * origins.find("a1", "asistan", 12_000).thenAccept(origin -> continueAt(origin));
 * }</pre>
 *
 * <p>What two versions write does not fit together, so a stream whose origin nobody knows is not
 * continued, unless only one version can have begun it.
 */
public final class StreamOrigins {

  /** A record is told once more after this time, as messages may be lost. */
  private static final long REPEAT_RECORD_AFTER_MS = 100;

  private final InstanceRecord self;
  private final OriginRecords records;
  private final ServedVersions served;
  private final OriginHolders holders;
  private final OriginWriters writers;
  private final OriginTable table;
  private final StreamNoticeSender sender;
  private final StoreClock storeClock;
  private final Timers timers;
  private final Map<String, List<OriginSearch>> searches = new ConcurrentHashMap<>();
  private final LongAdder knownCount = new LongAdder();
  private final LongAdder unknownCount = new LongAdder();

  /**
   * Creates the component.
   *
   * @param self this instance
   * @param others the other instances
   * @param served the versions that have been registered
   * @param sender sends messages to other instances
   * @param rows the platform's table, which outlasts the memory of all instances
   * @param storeClock the clock of the store
   * @param timers the clock and timers
   */
  public StreamOrigins(
      InstanceRecord self,
      Supplier<List<InstanceRecord>> others,
      ServedVersions served,
      StreamNoticeSender sender,
      TableService rows,
      StoreClock storeClock,
      Timers timers) {
    this.self = self;
    this.records = new OriginRecords(timers);
    this.served = served;
    this.holders = new OriginHolders(self, others);
    this.writers = new OriginWriters(self, others);
    this.table =
        new OriginTable(
            writers,
            records,
            service -> served.mayHaveSeveral(service, records.longestKeepMs()),
            rows,
            storeClock,
            timers);
    this.sender = sender;
    this.storeClock = storeClock;
    this.timers = timers;
  }

  /**
   * Returns the pin of a stream.
   *
   * @param requestId the caller's id for the request that began it
   * @param keepMs for how long it may be taken up again
   * @param origin the origin of a stream that is taken up; empty for one that begins
   * @return the pin
   */
  public StreamPin pin(String requestId, long keepMs, Optional<StreamOrigin> origin) {
    return new RecordedPin(this, requestId, keepMs, origin);
  }

  /** Records the origin of a stream here and at other instances. */
  void record(String requestId, StreamOrigin origin, long keepMs) {
    add(requestId, origin, keepMs);
    StreamNotice.Record told = new StreamNotice.Record(requestId, origin, keepMs);
    List<InstanceRecord> recipients = recipients(requestId);
    sender.send(told, recipients);
    timers.after(REPEAT_RECORD_AFTER_MS, () -> sender.send(told, recipients));
  }

  private void add(String requestId, StreamOrigin origin, long keepMs) {
    records
        .add(requestId, origin, keepMs)
        .ifPresent(changed -> table.onRecorded(requestId, changed));
  }

  private List<InstanceRecord> recipients(String requestId) {
    List<InstanceRecord> recording = holders.toRecordAt(requestId);
    InstanceRecord writer = writers.writerOf(requestId);
    return writer.equals(self) || recording.contains(writer)
        ? recording
        : Stream.concat(recording.stream(), Stream.of(writer)).toList();
  }

  /** Returns the instances that may know an origin from messages or from the table. */
  private List<InstanceRecord> toAsk(String requestId) {
    return Stream.concat(holders.toAsk(requestId).stream(), writers.toAsk(requestId).stream())
        .distinct()
        .toList();
  }

  /**
   * Finds the origin of a stream.
   *
   * @param requestId the caller's id for the request that began the stream; empty if not known
   * @param service the only service that can have begun the stream; empty if there are several
   * @param begunWithinMs the longest time since the stream can have begun
   * @return the origin; empty if nobody knows it and several versions can have begun the stream
   */
  public CompletableFuture<Optional<StreamOrigin>> find(
      String requestId, String service, long begunWithinMs) {
    long withinMs = Math.max(begunWithinMs, records.longestKeepMs());
    return search(new StreamNotice.Query(requestId, service, withinMs)).thenApply(this::count);
  }

  private Optional<StreamOrigin> count(Optional<StreamOrigin> found) {
    (found.isPresent() ? knownCount : unknownCount).increment();
    return found;
  }

  private CompletableFuture<Optional<StreamOrigin>> search(StreamNotice.Query query) {
    OriginSearch search =
        new OriginSearch(
            query,
            storeClock.nowMs() - query.begunWithinMs(),
            ownOrigins(query),
            query.requestId().isEmpty() ? List.of() : toAsk(query.requestId()),
            served,
            sender,
            timers);
    searches.merge(
        query.requestId(),
        List.of(search),
        (running, added) -> Stream.concat(running.stream(), added.stream()).toList());
    return search.start().whenComplete((found, error) -> remove(query.requestId(), search));
  }

  private void remove(String requestId, OriginSearch search) {
    searches.computeIfPresent(
        requestId,
        (id, running) -> {
          List<OriginSearch> others = running.stream().filter(other -> other != search).toList();
          return others.isEmpty() ? null : others;
        });
  }

  /**
   * Called when a message of another instance has arrived.
   *
   * @param notice the message
   * @param from the sender
   */
  public void onNotice(StreamNotice notice, InstanceRecord from) {
    if (notice instanceof StreamNotice.Record told) {
      add(told.requestId(), told.origin(), told.keepMs());
    } else if (notice instanceof StreamNotice.Query query) {
      sender.send(answerTo(query), List.of(from));
    } else if (notice instanceof StreamNotice.Answer answer) {
      searches
          .getOrDefault(answer.requestId(), List.of())
          .forEach(search -> search.onAnswer(answer, from.host()));
    }
  }

  private StreamNotice.Answer answerTo(StreamNotice.Query query) {
    return new StreamNotice.Answer(
        query.requestId(), ownOrigins(query), served.span(query.service()));
  }

  private Set<StreamOrigin> ownOrigins(StreamNotice.Query query) {
    return records.find(query.requestId()).map(OriginRecords.Entry::origins).orElse(Set.of());
  }

  /**
   * Returns the number of recorded origins.
   *
   * @return streams of this instance and of others
   */
  public int recordCount() {
    return records.count();
  }

  /**
   * Returns the number of streams taken up whose origin was found.
   *
   * @return streams since the start
   */
  public long knownCount() {
    return knownCount.sum();
  }

  /**
   * Returns the number of streams taken up whose origin nobody knew.
   *
   * @return streams since the start
   */
  public long unknownCount() {
    return unknownCount.sum();
  }

  /**
   * Returns the number of origins that this instance has written to the platform's table.
   *
   * @return origins since the start
   */
  public long writtenCount() {
    return table.writtenCount();
  }

  /**
   * Returns the number of origins that this instance has read from the platform's table.
   *
   * @return origins since the start
   */
  public long readCount() {
    return table.readCount();
  }
}
