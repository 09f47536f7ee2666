package io.mothrill.core.forward.view.exchange;

import io.mothrill.core.forward.view.ViewSettings;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.TableState;
import io.mothrill.core.forward.view.table.ViewTable;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.ReportRateLimiter;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.tinylog.Logger;

/**
 * Passes the tables of the platform's store on between instances.
 *
 * <p>The store refuses single instances for seconds while it serves their neighbors, and a whole
 * plan takes long on a link that callers fill. Instances tell each other how far their copies have
 * got, and one that is behind requests what it lacks, compressed, from one that has it. Only the
 * store writes the tables and counts their versions, so a change is as good from an instance as
 * from the store.
 */
public final class ViewExchange {

  /** Notices in the own failure domain after a new configuration; each recipient passes it on. */
  private static final int CHANGE_FANOUT = 3;

  private static final int PERIODIC_FANOUT = 1;

  private static final int NOTICES_PER_READ = 2;

  /** A request that takes longer is made of another instance as well. */
  private static final long HEDGE_AFTER_MS = 300;

  private static final long REPLY_TIMEOUT_MS = 1_500;

  private static final int MAX_PENDING = 2;

  /** Replies of this size delay the callers of a small instance. */
  private static final int LARGE_REPLY_BYTES = 8_192;

  private static final int MAX_LARGE_REPLIES_PER_S = 10;

  private final TableMerger tables;
  private final ExchangeRecipients recipients;
  private final ViewNoticeSender sender;
  private final PeerLinks links;
  private final Timers timers;
  private final long upstreamDelayMs;
  private final Map<ViewTable, PendingPulls> pulls = new EnumMap<>(ViewTable.class);
  private final Map<ViewTable, MissingChange> missing = new ConcurrentHashMap<>();
  private final ReportRateLimiter largeReplies = new ReportRateLimiter(MAX_LARGE_REPLIES_PER_S);
  private final LongAdder noticesSent = new LongAdder();
  private final LongAdder noticesReceived = new LongAdder();
  private final LongAdder requested = new LongAdder();
  private final LongAdder received = new LongAdder();
  private final LongAdder failed = new LongAdder();
  private final LongAdder served = new LongAdder();
  private final LongAdder declined = new LongAdder();

  /** A change that this instance lacks, and when it first heard of one. */
  private record MissingChange(long version, long sinceMs) {}

  /** The requests for one table without a reply. */
  private static final class PendingPulls {
    private int count;
    private long lastStartedMs;

    synchronized boolean tryStart(long nowMs) {
      if (count >= MAX_PENDING || count > 0 && nowMs - lastStartedMs < HEDGE_AFTER_MS) {
        return false;
      }
      count++;
      lastStartedMs = nowMs;
      return true;
    }

    synchronized void onEnded() {
      count--;
    }
  }

  /**
   * Creates the exchange and starts to send notices.
   *
   * @param self this instance
   * @param others the other instances
   * @param tables the copies of the tables
   * @param sender sends notices
   * @param links the connections to other instances
   * @param dispatcher receives the requests of other instances
   * @param settings the intervals of reads; notices are sent twice as often
   * @param timers the clock and timers
   * @param random draws the recipients
   */
  public ViewExchange(
      InstanceRecord self,
      Supplier<List<InstanceRecord>> others,
      TableMerger tables,
      ViewNoticeSender sender,
      PeerLinks links,
      PeerDispatcher dispatcher,
      ViewSettings settings,
      Timers timers,
      RandomGenerator random) {
    this.tables = tables;
    this.recipients = new ExchangeRecipients(self, others, random);
    this.sender = sender;
    this.links = links;
    this.timers = timers;
    this.upstreamDelayMs = settings.upstreamPollMs();
    Arrays.stream(ViewTable.values()).forEach(table -> pulls.put(table, new PendingPulls()));
    dispatcher.on(PeerMessage.TableRequest.class, this::serve);
    long readIntervalMs = Math.min(settings.planPollMs(), settings.upstreamPollMs());
    timers.every(
        Math.max(1, readIntervalMs / NOTICES_PER_READ),
        () -> send(recipients.draw(PERIODIC_FANOUT)));
  }

  /**
   * Called when the rows of a table have changed.
   *
   * <p>A new configuration is announced at once. Upstreams change several times a second while a
   * service is replaced, so their changes are announced with the periodic notices.
   *
   * @param table the table
   */
  public void onChanged(ViewTable table) {
    if (table == ViewTable.CONFIG) {
      send(recipients.draw(CHANGE_FANOUT));
    }
  }

  private void send(List<InstanceRecord> to) {
    List<TableState> known =
        Arrays.stream(ViewTable.values())
            .map(tables::state)
            .filter(state -> state.version() >= 0)
            .toList();
    if (!known.isEmpty() && !to.isEmpty()) {
      noticesSent.add(to.size());
      sender.send(new ViewNotice(known), to);
    }
  }

  /**
   * Called when a notice of another instance has arrived.
   *
   * @param notice the notice
   * @param from the sender
   */
  public void onNotice(ViewNotice notice, InstanceRecord from) {
    noticesReceived.increment();
    boolean isSenderBehind = false;
    for (TableState other : notice.states()) {
      tables.confirm(other);
      TableState own = tables.state(other.table());
      if (own.isBehind(other)) {
        onBehind(other, from);
      }
      isSenderBehind |= other.isBehind(own);
    }
    if (isSenderBehind) {
      send(List.of(from));
    }
  }

  /** Requests what this instance lacks, unless its own read will bring it soon. */
  private void onBehind(TableState other, InstanceRecord from) {
    long sinceMs = timers.nowMs() - behindMs(other.table());
    missing.put(other.table(), new MissingChange(other.changeVersion(), sinceMs));
    if (other.table() == ViewTable.UPSTREAMS && tables.isReadable(ViewTable.UPSTREAMS)) {
      timers.after(upstreamDelayMs, () -> pullIfBehind(other, from));
    } else {
      pullIfBehind(other, from);
    }
  }

  private void pullIfBehind(TableState other, InstanceRecord from) {
    ViewTable table = other.table();
    TableState own = tables.state(table);
    if (!own.isBehind(other) || !pulls.get(table).tryStart(timers.nowMs())) {
      return;
    }
    requested.increment();
    long requestedMs = timers.nowMs();
    var unused =
        links
            .request(from, new PeerMessage.TableRequest(table, own.version()), REPLY_TIMEOUT_MS)
            .whenComplete(
                (reply, error) -> {
                  pulls.get(table).onEnded();
                  if (error == null && mergeReply(table, reply, requestedMs)) {
                    received.increment();
                  } else {
                    failed.increment();
                    Logger.debug(
                        "table not received table={} from={} error={}", table, from.id(), error);
                  }
                });
  }

  private boolean mergeReply(ViewTable table, PeerMessage reply, long requestedMs) {
    return reply instanceof PeerMessage.TableReply content
        && content.read().isPresent()
        && tables.merge(table, content.read().get(), requestedMs);
  }

  private CompletableFuture<PeerMessage> serve(PeerMessage.TableRequest request) {
    var read = tables.differenceAfter(request.table(), request.afterVersion());
    if (read.filter(ViewExchange::isLarge).isPresent()
        && !largeReplies.tryAcquire(timers.nowMs())) {
      declined.increment();
      return CompletableFuture.completedFuture(new PeerMessage.Refused("too many requests"));
    }
    served.increment();
    return CompletableFuture.completedFuture(new PeerMessage.TableReply(read));
  }

  private static boolean isLarge(TableRead read) {
    return read.rows().stream().mapToInt(row -> row.value().bytes().length).sum()
        > LARGE_REPLY_BYTES;
  }

  /**
   * Returns how long this instance has known of changes that it has not received.
   *
   * @param table the table
   * @return milliseconds; 0 if it has all changes that it knows of
   */
  public long behindMs(ViewTable table) {
    MissingChange change = missing.get(table);
    return change != null && change.version() > tables.state(table).version()
        ? timers.nowMs() - change.sinceMs()
        : 0;
  }

  /**
   * Returns the counts of what was passed on.
   *
   * @return the counts since the start
   */
  public ExchangeCounts counts() {
    return new ExchangeCounts(
        noticesSent.sum(),
        noticesReceived.sum(),
        requested.sum(),
        received.sum(),
        failed.sum(),
        served.sum(),
        declined.sum());
  }
}
