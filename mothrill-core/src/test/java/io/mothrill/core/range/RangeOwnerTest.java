package io.mothrill.core.range;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.budget.Lease;
import io.mothrill.core.fake.FakeTable;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.PeerMessage.FinishReply.Verdict;
import io.mothrill.core.peer.PeerMessage.FinishRequest;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.request.Bill;
import io.mothrill.core.request.RequestKey;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class RangeOwnerTest {

  private static final RequestKey KEY = new RequestKey("branch", "key-1");
  private static final String RANGE = KeyRanges.of(KEY);
  private static final InstanceRecord SELF = instance("konya-1");
  private static final InstanceRecord PEER = instance("konya-2");

  private final ManualTimers timers = new ManualTimers();
  private final FakeTable table = new FakeTable(timers);
  private final PublishedValue<Membership> members =
      new PublishedValue<>(Membership.selfOnly(SELF));
  private CompletableFuture<PeerMessage> peerReply =
      CompletableFuture.completedFuture(new PeerMessage.Done());
  private final PeerLinks links = (peer, request, timeoutMs) -> peerReply;
  private final RangeOwner owner = owner();

  private static InstanceRecord instance(String id) {
    return new InstanceRecord(id, id + ".a", "konya", id, 1, false);
  }

  private RangeOwner owner() {
    Lease lease = new Lease(table, timers, SELF.incarnation(), 600_000, 60_000);
    RangeBackup backup = new RangeBackup(members, new PeerDispatcher(), timers, 600_000);
    RangeAcquirer taker = new RangeAcquirer(table, lease, members, links, timers, backup);
    timers.advanceMs(1);
    return new RangeOwner(table, lease, members, links, timers, taker, backup);
  }

  private static FinishRequest end(String requestId) {
    Bill bill = new Bill(requestId, KEY, List.of());
    return new FinishRequest(
        KEY, requestId, SELF.incarnation(), "print", false, Optional.of(bill), Optional.empty());
  }

  private OwnedRange range() {
    return owner.acquire(RANGE).join().orElseThrow();
  }

  private void addPeer() {
    members.publish(new Membership(SELF, List.of(PEER), Set.of(PEER.incarnation())));
  }

  @Test
  void countsOnlyTheRunThatEndsFirst() {
    // GIVEN
    OwnedRange range = range();
    // WHEN
    Verdict first = owner.finish(range, end("run-1")).join();
    Verdict second = owner.finish(range, end("run-2")).join();
    Verdict again = owner.finish(range, end("run-1")).join();
    // THEN
    assertThat(List.of(first, second, again))
        .containsExactly(Verdict.CONFIRMED, Verdict.SUPERSEDED, Verdict.CONFIRMED)
        .inOrder();
  }

  // Guards against billing a key twice: a decision made between sending the content of a range to a
  // new backup and naming that backup in the row would be unknown to the next owner.
  @Test
  void decidesNothingWhileItsBackupChanges() {
    // GIVEN
    final OwnedRange range = range();
    addPeer();
    peerReply = new CompletableFuture<>();
    owner.maintain();
    // WHEN
    Verdict during = owner.finish(range, end("run-1")).join();
    peerReply.complete(new PeerMessage.Done());
    Verdict after = owner.finish(range, end("run-1")).join();
    // THEN
    assertThat(during).isEqualTo(Verdict.HELD);
    assertThat(after).isEqualTo(Verdict.CONFIRMED);
    assertThat(range.state().backup()).isEqualTo(PEER.incarnation());
  }

  // Guards against confirmations by a previous owner: another instance has fenced the backup and
  // acquired the range, and the refusal of the backup shows this to the previous owner.
  @Test
  void relinquishesRangeWhenItsBackupRefuses() {
    // GIVEN
    addPeer();
    OwnedRange range = range();
    peerReply = CompletableFuture.completedFuture(new PeerMessage.Refused("range is fenced"));
    // WHEN
    Verdict verdict = owner.finish(range, end("run-1")).join();
    // THEN
    assertThat(verdict).isEqualTo(Verdict.HELD);
    assertThat(owner.find(RANGE)).isEmpty();
  }
}
