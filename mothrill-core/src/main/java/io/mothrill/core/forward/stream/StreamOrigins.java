package io.mothrill.core.forward.stream;

import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.tinylog.Logger;

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

  /** Most answers arrive within a few milliseconds; the caller waits meanwhile. */
  private static final long MAX_WAIT_MS = 250;

  /** After this time those who have not answered are asked once more. */
  private static final long REPEAT_AFTER_MS = 80;

  /** After a record was found, others may still have that of a later attempt. */
  private static final long LATER_RECORDS_MS = 20;

  private final InstanceRecord self;
  private final OriginRecords records;
  private final ServedVersions served;
  private final OriginHolders holders;
  private final OriginWriters writers;
  private final OriginTable table;
  private final StreamNoticeSender sender;
  private final Timers timers;
  private final Map<String, List<Search>> searches = new ConcurrentHashMap<>();
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

  /** Records the origin of a stream here and at other instances; later attempts count. */
  void record(String requestId, StreamOrigin origin, int attempt, long keepMs) {
    add(requestId, origin, attempt, keepMs);
    sender.send(
        new StreamNotice.Record(requestId, origin, attempt, keepMs),
        recipients(requestId, attempt));
  }

  private void add(String requestId, StreamOrigin origin, int attempt, long keepMs) {
    records.add(requestId, origin, attempt, keepMs);
    if (attempt == OriginRecords.CERTAIN) {
      records.find(requestId).ifPresent(entry -> table.onRecorded(requestId, entry));
    }
  }

  private List<InstanceRecord> recipients(String requestId, int attempt) {
    List<InstanceRecord> recording = holders.toRecordAt(requestId);
    InstanceRecord writer = writers.writerOf(requestId);
    return attempt < OriginRecords.CERTAIN || writer.equals(self) || recording.contains(writer)
        ? recording
        : Stream.concat(recording.stream(), Stream.of(writer)).toList();
  }

  private static void log(String requestId, Optional<StreamOrigin> origin, String source) {
    Logger.info(
        "stream taken up stream={} version={} source={}",
        requestId,
        origin.map(StreamOrigin::version).orElse("unknown"),
        source);
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
    return search(requestId, service, withinMs).thenApply(this::count);
  }

  private Optional<StreamOrigin> count(Optional<StreamOrigin> found) {
    (found.isPresent() ? knownCount : unknownCount).increment();
    return found;
  }

  private CompletableFuture<Optional<StreamOrigin>> search(
      String requestId, String service, long begunWithinMs) {
    Optional<StreamOrigin> recorded = records.find(requestId).map(OriginRecords.Entry::origin);
    Optional<StreamOrigin> known =
        recorded.or(
            () ->
                onlyVersion(service, begunWithinMs)
                    .map(version -> new StreamOrigin(service, version)));
    List<InstanceRecord> asked = requestId.isEmpty() ? List.of() : toAsk(requestId);
    if (known.isPresent() || asked.isEmpty()) {
      log(requestId, known, recorded.isPresent() ? "own record" : "versions seen here");
      return CompletableFuture.completedFuture(known);
    }
    Search search = new Search(requestId, service, begunWithinMs, asked);
    searches.computeIfAbsent(requestId, key -> new CopyOnWriteArrayList<>()).add(search);
    search.start();
    return search.found;
  }

  private Optional<String> onlyVersion(String service, long begunWithinMs) {
    return served.onlyVersion(service, Math.max(begunWithinMs, records.longestKeepMs()));
  }

  /**
   * Called when a message of another instance has arrived.
   *
   * @param notice the message
   * @param from the sender
   */
  public void onNotice(StreamNotice notice, InstanceRecord from) {
    if (notice instanceof StreamNotice.Record told) {
      add(told.requestId(), told.origin(), told.attempt(), told.keepMs());
    } else if (notice instanceof StreamNotice.Query query) {
      sender.send(answerTo(query), List.of(from));
    } else if (notice instanceof StreamNotice.Answer answer) {
      searches
          .getOrDefault(answer.requestId(), List.of())
          .forEach(search -> search.onAnswer(answer, from.host()));
    }
  }

  private StreamNotice.Answer answerTo(StreamNotice.Query query) {
    Optional<OriginRecords.Entry> entry = records.find(query.requestId());
    return new StreamNotice.Answer(
        query.requestId(),
        entry.map(OriginRecords.Entry::origin),
        entry.map(OriginRecords.Entry::attempt).orElse(0),
        onlyVersion(query.service(), query.begunWithinMs()));
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

  /** A search for one origin at other instances. */
  private final class Search {
    private final StreamNotice.Query query;
    private final List<InstanceRecord> asked;
    private final Set<String> answeredHosts = ConcurrentHashMap.newKeySet();
    private final CompletableFuture<Optional<StreamOrigin>> found = new CompletableFuture<>();
    private StreamNotice.Answer best;
    private Optional<String> onlyVersion = Optional.empty();
    private Subscription repeat = () -> {};
    private Subscription end = () -> {};

    Search(String requestId, String service, long begunWithinMs, List<InstanceRecord> asked) {
      this.query = new StreamNotice.Query(requestId, service, begunWithinMs);
      this.asked = asked;
    }

    void start() {
      repeat = timers.after(REPEAT_AFTER_MS, this::askAgain);
      end = timers.after(MAX_WAIT_MS, this::finish);
      sender.send(query, asked);
    }

    private void askAgain() {
      sender.send(
          query,
          asked.stream().filter(instance -> !answeredHosts.contains(instance.host())).toList());
    }

    synchronized void onAnswer(StreamNotice.Answer answer, String host) {
      answeredHosts.add(host);
      onlyVersion = onlyVersion.or(answer::onlyVersion);
      boolean isFirst = best == null && answer.origin().isPresent();
      if (isFirst || (best != null && answer.attempt() > best.attempt())) {
        best = answer;
      }
      if (answeredHosts.size() >= hostCount()) {
        finish();
      } else if (isFirst) {
        timers.after(LATER_RECORDS_MS, this::finish);
      }
    }

    private long hostCount() {
      return asked.stream().map(InstanceRecord::host).distinct().count();
    }

    private synchronized void finish() {
      repeat.cancel();
      end.cancel();
      searches.computeIfPresent(
          query.requestId(),
          (id, running) -> {
            running.remove(this);
            return running.isEmpty() ? null : running;
          });
      Optional<StreamOrigin> origin =
          best != null
              ? best.origin()
              : onlyVersion.map(version -> new StreamOrigin(query.service(), version));
      log(
          query.requestId(),
          origin,
          (best != null ? "record of another instance" : "versions seen elsewhere")
              + ", hosts answered "
              + answeredHosts.size()
              + " of "
              + hostCount());
      found.complete(origin);
    }
  }
}
