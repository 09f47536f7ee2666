package io.mothrill.core.forward.lease;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.lease.LeaseMessage.State;
import io.mothrill.core.forward.lease.LeaseMessage.Verdict;
import io.mothrill.core.forward.permit.FleetView;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/**
 * Leases of places at upstreams that bear fewer rejections than there are instances.
 *
 * <p>No instance can have a share of such an upstream, and notices about rejections come too late.
 * Therefore one instance, the same in the view of all, grants the places of an upstream, and each
 * request holds a lease from before it is sent until it has ended. A lease that is not returned, as
 * a message was lost or its holder has ended, expires after the deadline of the request.
 *
 * <pre>{@code
 * leases.acquire(upstream, maxPerS, remainingMs)
 *     .thenAccept(lease -> lease.ifPresentOrElse(this::send, this::tryNextUpstream));
 * }</pre>
 */
public final class UpstreamLeases {

  /** A message is sent again after this time, as it may be lost. */
  private static final long RESEND_MS = 80;

  /** For this time a coordinator that has not replied is not asked again. */
  private static final long UNRESPONSIVE_MS = 1_000;

  /** Upstreams abort requests within this time after their connection was closed. */
  private static final long ABORT_MS = 500;

  /** Pause after a denied request per instance, so that all together send 1,000 per second. */
  private static final long PAUSE_PER_INSTANCE_MS = 1;

  private static final long MIN_PAUSE_MS = 10;
  private static final long MAX_PAUSE_MS = 1_000;

  private final InstanceRecord self;
  private final FleetView fleet;
  private final PublishedValue<UpstreamList> list;
  private final LeaseMessageSender sender;
  private final Timers timers;
  private final RandomGenerator random;
  private final CoordinatorRanking ranking;
  private final LeaseCoordinator coordinator;
  private final ReplyTimeout replyTimeout = new ReplyTimeout();
  private final AtomicLong nextId;
  private final Map<Long, Pending> pendingById = new ConcurrentHashMap<>();
  private final Map<String, Long> closedUntilMs = new ConcurrentHashMap<>();
  private final Map<String, Long> unresponsiveUntilMs = new ConcurrentHashMap<>();
  private final AtomicLong grantedCount = new AtomicLong();
  private final AtomicLong deniedCount = new AtomicLong();

  private record Pending(
      LeaseMessage.Request request,
      InstanceRecord coordinator,
      long requestedMs,
      CompletableFuture<Optional<SendLease>> result) {}

  /**
   * Creates the leases.
   *
   * @param self this instance
   * @param fleet the other instances
   * @param list the registered upstreams
   * @param sender sends messages to other instances
   * @param timers the clock
   * @param random spreads the times at which instances ask again
   */
  public UpstreamLeases(
      InstanceRecord self,
      FleetView fleet,
      PublishedValue<UpstreamList> list,
      LeaseMessageSender sender,
      Timers timers,
      RandomGenerator random) {
    this.self = self;
    this.fleet = fleet;
    this.list = list;
    this.sender = sender;
    this.timers = timers;
    this.random = random;
    this.ranking = new CoordinatorRanking(self, fleet, timers);
    this.coordinator = new LeaseCoordinator(self, fleet, ranking, timers);
    this.nextId = new AtomicLong(random.nextLong());
    list.subscribe(
        newest -> {
          ranking.retain(newest::containsIncarnation);
          coordinator.retain(newest::containsIncarnation);
          closedUntilMs.keySet().removeIf(incarnation -> !newest.containsIncarnation(incarnation));
        });
  }

  /**
   * Requests a lease.
   *
   * @param upstream the upstream
   * @param maxPerS how many requests per second it can turn away
   * @param validMs the time within which the request ends
   * @return the lease; empty if the upstream bears no more requests now or its coordinator does not
   *     reply
   */
  public CompletableFuture<Optional<SendLease>> acquire(
      RegisteredUpstream upstream, int maxPerS, long validMs) {
    List<InstanceRecord> candidates = ranking.candidates(upstream);
    boolean toSubstitute = candidates.size() > 1 && isUnresponsive(candidates.get(0));
    InstanceRecord target = candidates.get(toSubstitute ? 1 : 0);
    LeaseMessage.Request request =
        new LeaseMessage.Request(
            nextId.incrementAndGet(), upstream.incarnation(), maxPerS, validMs, toSubstitute);
    Pending pending = new Pending(request, target, timers.nowMs(), new CompletableFuture<>());
    if (target.equals(self)) {
      onVerdict(pending, coordinator.decide(request, upstream, self.host()));
    } else {
      pendingById.put(request.leaseId(), pending);
      timers.after(RESEND_MS, () -> resend(pending));
      timers.after(replyTimeout.timeoutMs(), () -> onTimeout(pending));
      sender.send(request, target);
    }
    return pending.result();
  }

  private boolean isUnresponsive(InstanceRecord instance) {
    Long untilMs = unresponsiveUntilMs.get(instance.id());
    return untilMs != null && timers.nowMs() < untilMs;
  }

  private void resend(Pending pending) {
    if (pendingById.containsKey(pending.request().leaseId())) {
      sender.send(pending.request(), pending.coordinator());
    }
  }

  private void onTimeout(Pending pending) {
    if (pendingById.remove(pending.request().leaseId()) != null) {
      replyTimeout.onTimeout();
      new HeldLease(pending).end();
      onVerdict(pending, Verdict.NOT_COORDINATOR);
    }
  }

  private void onVerdict(Pending pending, Verdict verdict) {
    if (verdict == Verdict.GRANTED) {
      grantedCount.incrementAndGet();
      pending.result().complete(Optional.of(new HeldLease(pending)));
      return;
    }
    deniedCount.incrementAndGet();
    if (verdict == Verdict.NOT_COORDINATOR) {
      unresponsiveUntilMs.put(pending.coordinator().id(), timers.nowMs() + UNRESPONSIVE_MS);
    }
    closedUntilMs.put(pending.request().incarnation(), timers.nowMs() + pauseMs());
    pending.result().complete(Optional.empty());
  }

  private long pauseMs() {
    long pauseMs = PAUSE_PER_INSTANCE_MS * fleet.others().size();
    return Math.min(
        MAX_PAUSE_MS, MIN_PAUSE_MS + pauseMs / 2 + (long) (random.nextDouble() * pauseMs));
  }

  /**
   * Called when a message of another instance arrives.
   *
   * @param message the message
   * @param from its sender
   */
  public void onMessage(LeaseMessage message, InstanceRecord from) {
    if (message instanceof LeaseMessage.Request request) {
      Verdict verdict =
          list.read()
              .findIncarnation(request.incarnation())
              .map(upstream -> coordinator.decide(request, upstream, from.host()))
              .orElse(Verdict.NOT_COORDINATOR);
      sender.send(new LeaseMessage.Reply(request.leaseId(), request.incarnation(), verdict), from);
    } else if (message instanceof LeaseMessage.Update update) {
      coordinator.onUpdate(update, from.host());
    } else if (message instanceof LeaseMessage.Reply reply) {
      onReply(reply);
    }
  }

  private void onReply(LeaseMessage.Reply reply) {
    Pending pending = pendingById.remove(reply.leaseId());
    if (pending != null) {
      replyTimeout.onReply(timers.nowMs() - pending.requestedMs());
      onVerdict(pending, reply.verdict());
    }
  }

  /**
   * Checks whether a lease was denied a moment ago.
   *
   * @param upstream the upstream
   * @return false if a lease may be requested
   */
  public boolean isClosed(RegisteredUpstream upstream) {
    return closedForMs(upstream) > 0;
  }

  /**
   * Returns the time for which no lease is requested.
   *
   * @param upstream the upstream
   * @return milliseconds from now; 0 if a lease may be requested
   */
  public long closedForMs(RegisteredUpstream upstream) {
    Long untilMs = closedUntilMs.get(upstream.incarnation());
    return untilMs == null ? 0 : Math.max(0, untilMs - timers.nowMs());
  }

  /**
   * Returns the number of leases granted to this instance.
   *
   * @return a count since the start
   */
  public long grantedCount() {
    return grantedCount.get();
  }

  /**
   * Returns the number of leases that this instance did not get.
   *
   * @return a count since the start
   */
  public long deniedCount() {
    return deniedCount.get();
  }

  /**
   * Returns the number of leases that this instance has granted and that have not ended.
   *
   * @return the current count
   */
  public int coordinatedCount() {
    return coordinator.heldCount();
  }

  /** A lease of this instance. */
  private final class HeldLease implements SendLease {
    private final Pending pending;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile OptionalInt requestCount = OptionalInt.empty();

    private HeldLease(Pending pending) {
      this.pending = pending;
    }

    @Override
    public boolean isHeld() {
      return true;
    }

    @Override
    public void onAnswer(OptionalInt reportedCount, boolean isStream, boolean turnedAway) {
      if (turnedAway) {
        end(State.TURNED_AWAY, reportedCount);
      } else if (isStream) {
        send(State.ANSWERING, reportedCount);
      } else {
        requestCount = reportedCount;
      }
    }

    @Override
    public void abort() {
      if (ended.compareAndSet(false, true)) {
        timers.after(ABORT_MS, () -> sendTwice(State.ENDED, OptionalInt.empty()));
      }
    }

    @Override
    public void end() {
      end(State.ENDED, requestCount);
    }

    private void end(State state, OptionalInt reportedCount) {
      if (ended.compareAndSet(false, true)) {
        sendTwice(state, reportedCount);
      }
    }

    private void sendTwice(State state, OptionalInt reportedCount) {
      send(state, reportedCount);
      if (!pending.coordinator().equals(self)) {
        timers.after(RESEND_MS, () -> send(state, OptionalInt.empty()));
      }
    }

    private void send(State state, OptionalInt reportedCount) {
      LeaseMessage.Request request = pending.request();
      LeaseMessage.Update update =
          new LeaseMessage.Update(request.leaseId(), request.incarnation(), state, reportedCount);
      if (pending.coordinator().equals(self)) {
        coordinator.onUpdate(update, self.host());
      } else {
        sender.send(update, pending.coordinator());
      }
    }
  }
}
