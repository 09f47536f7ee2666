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
 * Sends bills to the ledger through the instance that holds their allotment.
 *
 * <p>The holder posts the bills of all its borrowers in one batch, so the platform is not written
 * to by every instance for every budget. When the holder does not respond, this instance posts the
 * bills itself, after a delay that is longer than the validity of the message at the holder. The
 * clocks of the two instances may differ by the difference between the two times. The ledger is
 * read before posting, so a bill that the holder has posted, or has accepted for posting, is not
 * written again.
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
   * Adds a bill.
   *
   * @param allotment the allotment whose tokens it used
   * @param entry the bill
   * @return completes when the bill has been written to the ledger
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
   * Adds a bill on behalf of a runner that has left the fleet and may have posted the bill itself.
   *
   * @param allotment the allotment whose tokens it used
   * @param entry the bill
   * @return completes when the bill has been written to the ledger
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
            .request(holder, message, ASK_TIMEOUT_MS)
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
   * Returns the number of bills that have not been written to the ledger yet.
   *
   * @return the number of bills added at this instance
   */
  public int pendingCount() {
    synchronized (pendingByHolder) {
      return ledger.pendingCount() + pendingByHolder.values().stream().mapToInt(List::size).sum();
    }
  }

  /** Sends all pending bills immediately. */
  public void flush() {
    forward();
    ledger.flush();
  }
}
