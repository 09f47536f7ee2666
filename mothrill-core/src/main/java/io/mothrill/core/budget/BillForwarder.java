package io.mothrill.core.budget;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.PeerMessage.PostBills;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Brings bills to the ledger by way of the instance that holds their allotment.
 *
 * <p>The holder posts the bills of all who borrowed from it in one batch, so the platform is not
 * written to by every instance for every budget. When the holder does not answer, this instance
 * posts itself, after a time at which the holder takes the message no more: its clock may differ by
 * the difference between the two times. The ledger is read before, so a bill that the holder has
 * posted, or has taken to post, is not written again.
 */
public final class BillForwarder {

  private static final long ASK_TIMEOUT_MS = 5_000;
  private static final long MESSAGE_VALIDITY_MS = 20_000;
  private static final long DIRECT_POST_DELAY_MS = 30_000;

  private final LedgerPoster ledger;
  private final PublishedValue<Membership> members;
  private final PeerLinks links;
  private final Timers timers;
  private final Map<InstanceRecord, List<PendingBill>> pendingByHolder = new HashMap<>();

  BillForwarder(
      LedgerPoster ledger,
      PublishedValue<Membership> members,
      PeerLinks links,
      PeerDispatcher dispatcher,
      Timers timers,
      long postMs) {
    this.ledger = ledger;
    this.members = members;
    this.links = links;
    this.timers = timers;
    dispatcher.on(PostBills.class, this::onPostBills);
    timers.every(postMs, this::forward);
  }

  private record PendingBill(PostBills.Line line, CompletableFuture<Void> posted) {}

  /**
   * Takes a bill.
   *
   * @param allotment the allotment that it draws on
   * @param entry the bill
   * @return completes when the bill is in the ledger
   */
  public CompletableFuture<Void> add(AllotmentId allotment, LedgerEntry entry) {
    Optional<InstanceRecord> holder = holderOf(allotment);
    if (holder.isEmpty()) {
      return ledger.add(allotment, entry);
    }
    PendingBill bill =
        new PendingBill(new PostBills.Line(allotment, entry), new CompletableFuture<>());
    synchronized (pendingByHolder) {
      pendingByHolder.computeIfAbsent(holder.get(), id -> new ArrayList<>()).add(bill);
    }
    return bill.posted();
  }

  /**
   * Takes a bill of a runner that is gone, which it may have posted itself.
   *
   * @param allotment the allotment that it draws on
   * @param entry the bill
   * @return completes when the bill is in the ledger
   */
  public CompletableFuture<Void> recover(AllotmentId allotment, LedgerEntry entry) {
    return ledger.recover(allotment, entry);
  }

  private Optional<InstanceRecord> holderOf(AllotmentId allotment) {
    Membership view = members.read();
    return view.find(allotment.incarnation())
        .filter(holder -> !view.isSelf(holder) && view.isReachable(holder));
  }

  private void forward() {
    Map<InstanceRecord, List<PendingBill>> batches;
    synchronized (pendingByHolder) {
      batches = Map.copyOf(pendingByHolder);
      pendingByHolder.clear();
    }
    batches.forEach(this::send);
  }

  private void send(InstanceRecord holder, List<PendingBill> bills) {
    PostBills message =
        new PostBills(
            timers.wallMs() + MESSAGE_VALIDITY_MS, bills.stream().map(PendingBill::line).toList());
    var unused =
        links
            .ask(holder, message, ASK_TIMEOUT_MS)
            .thenAccept(reply -> onReply(bills, reply))
            .exceptionally(
                error -> {
                  timers.after(DIRECT_POST_DELAY_MS, () -> bills.forEach(this::postDirectly));
                  return null;
                });
  }

  private void onReply(List<PendingBill> bills, PeerMessage reply) {
    if (reply instanceof PeerMessage.Done) {
      bills.forEach(bill -> bill.posted().complete(null));
    } else {
      bills.forEach(this::postDirectly);
    }
  }

  private void postDirectly(PendingBill bill) {
    var unused =
        ledger
            .recover(bill.line().allotment(), bill.line().entry())
            .thenAccept(nothing -> bill.posted().complete(null));
  }

  private CompletableFuture<PeerMessage> onPostBills(PostBills message) {
    if (timers.wallMs() > message.validUntilWallMs()) {
      return CompletableFuture.completedFuture(new PeerMessage.Refused("too late"));
    }
    return allOf(
            message.lines().stream()
                .map(line -> ledger.add(line.allotment(), line.entry()))
                .toList())
        .thenApply(nothing -> new PeerMessage.Done());
  }

  private static CompletableFuture<Void> allOf(List<CompletableFuture<Void>> futures) {
    return CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new));
  }

  /**
   * Counts the bills that are not in the ledger yet.
   *
   * @return bills taken here
   */
  public int pendingCount() {
    synchronized (pendingByHolder) {
      return ledger.pendingCount() + pendingByHolder.values().stream().mapToInt(List::size).sum();
    }
  }

  /** Brings what is waiting on its way at once. */
  public void flush() {
    forward();
    ledger.flush();
  }
}
