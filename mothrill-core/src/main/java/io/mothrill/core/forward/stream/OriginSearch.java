package io.mothrill.core.forward.stream;

import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.tinylog.Logger;

/**
 * A search for the origin of one stream that a caller takes up.
 *
 * <p>A record tells it, of this instance or of another. Without one, the list of upstreams does if
 * it has had only one version for as long as the stream can have begun. The stream has begun before
 * the search starts, so the list is read again: one that was read before may lack the version that
 * began it.
 */
final class OriginSearch {

  /** Most answers arrive within a few milliseconds; the caller waits meanwhile. */
  private static final long MAX_WAIT_MS = 250;

  /** After this time those who have not answered are asked once more. */
  private static final long REPEAT_AFTER_MS = 80;

  /** Reading the list takes the link of a small instance, and most streams are recorded. */
  private static final long REFRESH_AFTER_MS = 30;

  /** After a record was found, others may still have one that contradicts it. */
  private static final long MORE_RECORDS_MS = 20;

  private final StreamNotice.Query query;
  private final long begunFromMs;
  private final Set<StreamOrigin> ownOrigins;
  private final List<InstanceRecord> asked;
  private final ServedVersions served;
  private final StreamNoticeSender sender;
  private final Timers timers;
  private final Set<String> answeredHosts = new HashSet<>();
  private final Set<StreamOrigin> origins = new HashSet<>();
  private final List<VersionSpan> spans = new ArrayList<>();
  private final List<Subscription> subscriptions = new ArrayList<>();
  private final CompletableFuture<Optional<StreamOrigin>> found = new CompletableFuture<>();
  private boolean isRefreshStarted;
  private boolean isRefreshed;
  private boolean isFinished;
  private Optional<Long> completeMs = Optional.empty();

  /**
   * Creates a search.
   *
   * @param query the question to other instances
   * @param begunFromMs when the stream can have begun at the earliest, on the clock of the store
   * @param ownOrigins what this instance has recorded
   * @param asked the instances that may have a record
   * @param served the versions that have been registered
   * @param sender sends messages to other instances
   * @param timers the timers
   */
  OriginSearch(
      StreamNotice.Query query,
      long begunFromMs,
      Set<StreamOrigin> ownOrigins,
      List<InstanceRecord> asked,
      ServedVersions served,
      StreamNoticeSender sender,
      Timers timers) {
    this.query = query;
    this.begunFromMs = begunFromMs;
    this.ownOrigins = ownOrigins;
    this.asked = asked;
    this.served = served;
    this.sender = sender;
    this.timers = timers;
  }

  /** Starts the search; the origin is empty if nobody can know it. */
  CompletableFuture<Optional<StreamOrigin>> start() {
    synchronized (this) {
      subscriptions.add(timers.after(MAX_WAIT_MS, this::finish));
      subscriptions.add(timers.after(REPEAT_AFTER_MS, this::askAgain));
      subscriptions.add(timers.after(asked.isEmpty() ? 0 : REFRESH_AFTER_MS, this::refresh));
      addOrigins(ownOrigins);
    }
    sender.send(query, asked);
    return found;
  }

  private synchronized void addOrigins(Set<StreamOrigin> added) {
    if (origins.isEmpty() && !added.isEmpty()) {
      subscriptions.add(timers.after(asked.isEmpty() ? 0 : MORE_RECORDS_MS, this::finish));
    }
    origins.addAll(added);
  }

  private synchronized void askAgain() {
    sender.send(
        query,
        asked.stream().filter(instance -> !answeredHosts.contains(instance.host())).toList());
  }

  /** Called when an instance has answered. */
  void onAnswer(StreamNotice.Answer answer, String host) {
    synchronized (this) {
      answeredHosts.add(host);
      answer.span().ifPresent(spans::add);
      addOrigins(answer.origins());
    }
    if (!hasAllAnswers()) {
      return;
    }
    if (hasRecord()) {
      finish();
    } else {
      refresh();
      finishIfKnown();
    }
  }

  private synchronized boolean hasAllAnswers() {
    return answeredHosts.size() >= asked.stream().map(InstanceRecord::host).distinct().count();
  }

  private synchronized boolean hasRecord() {
    return !origins.isEmpty();
  }

  private void refresh() {
    synchronized (this) {
      if (isRefreshStarted || isFinished || hasRecord()) {
        return;
      }
      isRefreshStarted = true;
    }
    if (query.service().isEmpty()) {
      onRefreshed(Optional.empty());
    } else {
      var unused =
          served
              .refresh()
              .whenComplete((readMs, error) -> onRefreshed(Optional.ofNullable(readMs)));
    }
  }

  private void onRefreshed(Optional<Long> readMs) {
    synchronized (this) {
      completeMs = readMs;
      isRefreshed = true;
    }
    finishIfKnown();
  }

  /** The list decides only once no record can arrive any more: a record knows more. */
  private void finishIfKnown() {
    if (hasRefreshed() && hasAllAnswers()) {
      finish();
    }
  }

  private synchronized boolean hasRefreshed() {
    return isRefreshed;
  }

  private synchronized Optional<StreamOrigin> onlyOrigin() {
    return completeMs
        .flatMap(readMs -> served.onlyVersion(query.service(), begunFromMs, readMs, spans))
        .map(version -> new StreamOrigin(query.service(), version));
  }

  private void finish() {
    Optional<StreamOrigin> origin;
    synchronized (this) {
      if (isFinished) {
        return;
      }
      isFinished = true;
      subscriptions.forEach(Subscription::cancel);
      origin = hasRecord() ? OriginRecords.Entry.only(origins) : onlyOrigin();
      log(origin);
    }
    found.complete(origin);
  }

  private void log(Optional<StreamOrigin> origin) {
    Logger.info(
        "stream taken up stream={} version={} source={} origins={} answered={} asked={} list={}",
        query.requestId(),
        origin.map(StreamOrigin::version).orElse("unknown"),
        source(),
        origins.size(),
        answeredHosts.size(),
        asked.size(),
        completeMs.isPresent() ? "read" : "not read");
  }

  private String source() {
    if (!ownOrigins.isEmpty()) {
      return "own record";
    }
    return origins.isEmpty() ? "list" : "another instance";
  }
}
