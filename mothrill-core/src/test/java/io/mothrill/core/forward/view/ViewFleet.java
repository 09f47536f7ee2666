package io.mothrill.core.forward.view;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.view.exchange.ViewExchange;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.ViewTable;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.error.PeerException;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.error.PlatformException;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/** Instances, a store and the network between them, in memory and in simulated time. */
final class ViewFleet {

  static final ViewSettings SETTINGS = new ViewSettings(500, 500, 2_500, 500);
  static final int DOMAINS = 4;

  private static final long STORE_TIMEOUT_MS = 1_200;
  private static final int HOP_MS = 3;
  private static final double LOST_NOTICES = 0.05;

  /** What happens to the reads of one instance. */
  enum StoreFault {
    NONE,
    REFUSES,
    HANGS,
    SLOW,
    LOSES_ANSWERS
  }

  final ManualTimers timers = new ManualTimers();
  final MemoryStore store = new MemoryStore(timers);
  final List<Instance> instances = new ArrayList<>();
  final Random random;

  ViewFleet(int count, Random random) {
    this.random = random;
    List<InstanceRecord> records =
        IntStream.range(0, count)
            .mapToObj(
                number ->
                    new InstanceRecord(
                        "e" + number, "e" + number, "d" + number % DOMAINS, "::1", number, false))
            .toList();
    records.forEach(
        record ->
            instances.add(
                new Instance(
                    record, records.stream().filter(other -> !other.equals(record)).toList())));
  }

  /** Starts the instances at random moments of an interval. */
  void start() {
    instances.forEach(
        instance -> timers.after(random.nextInt((int) SETTINGS.planPollMs()), instance::start));
  }

  /** One instance. */
  final class Instance implements StateSource, PeerLinks {

    final InstanceRecord self;
    final PublishedValue<ForwardingPlan> plan = new PublishedValue<>(ForwardingPlan.unknown());
    final PublishedValue<UpstreamList> upstreams = new PublishedValue<>(UpstreamList.empty());
    final NavigableMap<Long, Long> versionByMs = new TreeMap<>();
    private final NavigableMap<Long, Long> upstreamsByMs = new TreeMap<>();
    private final List<InstanceRecord> others;
    private final PeerDispatcher dispatcher = new PeerDispatcher();
    private ViewExchange exchange;
    StoreFault storeFault = StoreFault.NONE;
    int slowMs;
    int group;
    long groupSinceMs;

    Instance(InstanceRecord self, List<InstanceRecord> others) {
      this.self = self;
      this.others = others;
      this.group = 0;
      plan.subscribe(newest -> versionByMs.put(timers.nowMs(), newest.version()));
      upstreams.subscribe(list -> upstreamsByMs.put(timers.nowMs(), (long) list.all().size()));
    }

    void start() {
      groupSinceMs = timers.nowMs();
      ViewController view =
          new ViewController(
              this,
              new MemoryStore.Decoder(),
              plan,
              new PublishedValue<>(Set.of()),
              upstreams,
              instances::size,
              store,
              timers,
              random,
              SETTINGS);
      exchange =
          new ViewExchange(
              self,
              () -> others,
              view,
              (notice, to) ->
                  to.forEach(
                      other ->
                          deliver(
                              other,
                              receiver ->
                                  receiver.exchange.onNotice(
                                      notice,
                                      InstanceRecord.ofAddress(self.host(), self.peerPort())))),
              this,
              dispatcher,
              SETTINGS,
              timers,
              random);
      view.subscribe(exchange::onChanged);
      view.start();
    }

    /** Moves the instance to another side of a cut. */
    void setGroup(int newGroup) {
      if (group != newGroup) {
        group = newGroup;
        groupSinceMs = timers.nowMs();
      }
    }

    /** Returns the version of the plan that the instance had at a time; 0 if it had none. */
    long versionAt(long atMs) {
      return valueAt(versionByMs, atMs);
    }

    /** Returns how many upstreams the instance knew at a time. */
    long upstreamsAt(long atMs) {
      return valueAt(upstreamsByMs, atMs);
    }

    private static long valueAt(NavigableMap<Long, Long> values, long atMs) {
      var entry = values.floorEntry(atMs);
      return entry == null ? 0 : entry.getValue();
    }

    private int delayMs() {
      return 1 + random.nextInt(HOP_MS) + (slowMs > 0 ? random.nextInt(slowMs) : 0);
    }

    private void deliver(InstanceRecord to, java.util.function.Consumer<Instance> delivery) {
      Instance receiver = instances.get(to.peerPort());
      if (receiver.group != group || random.nextDouble() < LOST_NOTICES) {
        return;
      }
      timers.after(
          delayMs() + receiver.delayMs(),
          () -> {
            if (receiver.exchange != null && receiver.group == group) {
              delivery.accept(receiver);
            }
          });
    }

    @Override
    public CompletableFuture<PeerMessage> request(
        InstanceRecord peer, PeerMessage request, long timeoutMs) {
      CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
      Instance receiver = instances.get(peer.peerPort());
      timers.after(
          timeoutMs,
          () -> reply.completeExceptionally(PeerException.noReply(peer.id(), "timeout")));
      timers.after(
          delayMs() + receiver.delayMs(),
          () -> {
            if (receiver.group == group) {
              receiver
                  .dispatcher
                  .dispatch(request)
                  .thenAccept(
                      answer -> timers.after(delayMs(), () -> completeIf(receiver, reply, answer)));
            }
          });
      return reply;
    }

    private void completeIf(
        Instance sender, CompletableFuture<PeerMessage> reply, PeerMessage answer) {
      if (sender.group == group) {
        reply.complete(answer);
      }
    }

    @Override
    public CompletableFuture<TableRead> readWhole(ViewTable table, Runnable onProgress) {
      return answer(() -> store.readWhole(table, onProgress));
    }

    @Override
    public CompletableFuture<TableRead> readChanges(
        ViewTable table, long afterVersion, Runnable onProgress) {
      return answer(() -> store.readChanges(table, afterVersion, onProgress));
    }

    private CompletableFuture<TableRead> answer(
        java.util.function.Supplier<CompletableFuture<TableRead>> read) {
      CompletableFuture<TableRead> response = new CompletableFuture<>();
      switch (storeFault) {
        case REFUSES ->
            timers.after(
                delayMs(),
                () -> response.completeExceptionally(PlatformException.unreachable("store")));
        case HANGS -> failLater(response);
        case LOSES_ANSWERS -> {
          if (random.nextBoolean()) {
            failLater(response);
          } else {
            answerIn(delayMs(), read, response);
          }
        }
        case SLOW -> answerIn(delayMs() + random.nextInt(1_000), read, response);
        default -> answerIn(delayMs(), read, response);
      }
      return response;
    }

    private void answerIn(
        int delayMs,
        java.util.function.Supplier<CompletableFuture<TableRead>> read,
        CompletableFuture<TableRead> response) {
      timers.after(
          delayMs,
          () ->
              read.get()
                  .whenComplete(
                      (result, error) ->
                          timers.after(
                              delayMs,
                              () -> {
                                if (error == null) {
                                  response.complete(result);
                                } else {
                                  response.completeExceptionally(error);
                                }
                              })));
    }

    private void failLater(CompletableFuture<TableRead> response) {
      timers.after(
          STORE_TIMEOUT_MS,
          () -> response.completeExceptionally(PlatformException.unreachable("store")));
    }
  }
}
