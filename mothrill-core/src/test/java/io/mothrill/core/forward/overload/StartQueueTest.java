package io.mothrill.core.forward.overload;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against requests that are started too late, or for callers that have disconnected. */
class StartQueueTest {

  private static final long START_COST_MS = 20;
  private static final long SLICE_MS = 20;

  private final StartQueue<TestStart> queue = new StartQueue<>();

  private static final class TestStart implements PendingStart {
    private final long receivedMs;
    private final int urgency;
    private final long deadlineMs;
    private boolean connected = true;

    TestStart(long receivedMs, int urgency, long deadlineMs) {
      this.receivedMs = receivedMs;
      this.urgency = urgency;
      this.deadlineMs = deadlineMs;
    }

    @Override
    public boolean isCallerConnected() {
      return connected;
    }

    @Override
    public long receivedMs() {
      return receivedMs;
    }

    @Override
    public Terms startTerms() {
      return new Terms(urgency, deadlineMs);
    }
  }

  private TestStart add(long receivedMs, int urgency, long deadlineMs) {
    TestStart request = new TestStart(receivedMs, urgency, deadlineMs);
    queue.add(request, receivedMs);
    return request;
  }

  @Test
  void requestsStartInOrderOfArrivalWhileTheEventLoopKeepsUp() {
    TestStart first = add(0, 2, 1_500);
    TestStart second = add(10, 0, 1_500);

    assertThat(queue.take(40).starts()).containsExactly(first, second).inOrder();
  }

  @Test
  void mostUrgentAndNewestRequestsStartFirstWhileTheEventLoopIsBehind() {
    TestStart oldest = add(0, 1, 9_000);
    TestStart newest = add(200, 1, 9_000);
    TestStart urgent = add(100, 0, 9_000);

    assertThat(queue.take(220).starts()).containsExactly(urgent, newest, oldest).inOrder();
  }

  @Test
  void requestsOfDisconnectedCallersAreDropped() {
    TestStart left = add(0, 0, 1_500);
    left.connected = false;

    StartSlice<TestStart> slice = queue.take(10);

    assertThat(slice.starts()).isEmpty();
    assertThat(slice.rejections()).isEmpty();
    assertThat(queue.size()).isEqualTo(0);
  }

  @Test
  void requestsPutBackAreTakenAgain() {
    TestStart first = add(0, 0, 1_500);
    TestStart second = add(0, 0, 1_500);

    queue.putBack(queue.take(10).starts().subList(1, 2));

    assertThat(first.isCallerConnected()).isTrue();
    assertThat(queue.take(30).starts()).containsExactly(second);
  }

  @Test
  void requestWhoseTimeIsOverIsRejectedAtOnce() {
    TestStart late = add(0, 0, 100);

    StartSlice<TestStart> slice = queue.take(95);

    assertThat(slice.rejections()).hasSize(1);
    assertThat(slice.rejections().get(0).request()).isSameInstanceAs(late);
    assertThat(slice.rejections().get(0).retryAfterMs()).isAtLeast(100);
  }

  // A process has just started with 150 requests in its sockets, 15 more come each second, and a
  // third of a core starts 50 a second. Callers wait for 1.5 s and want an answer within 300 ms.
  @Test
  void newRequestsStartInTimeAlthoughTheSocketsWereFullAtTheStart() {
    List<Long> delaysMs = new ArrayList<>();
    int rejected = 0;
    for (int request = 0; request < 150; request++) {
      add(0, request % 3, 1_500);
    }
    long nowMs = 60;
    long nextMs = 60;
    while (nowMs < 4_000) {
      for (; nextMs <= nowMs; nextMs += 66) {
        add(nextMs, 1, nextMs + 1_500);
      }
      StartSlice<TestStart> slice = queue.take(nowMs);
      rejected += slice.rejections().size();
      long endMs = nowMs + SLICE_MS;
      int started = 0;
      while (started < slice.starts().size() && nowMs < endMs) {
        nowMs += START_COST_MS;
        delaysMs.add(nowMs - slice.starts().get(started).receivedMs());
        started++;
      }
      queue.putBack(slice.starts().subList(started, slice.starts().size()));
      nowMs += 1;
    }
    long inTime = delaysMs.stream().filter(delayMs -> delayMs < 300).count();

    // In order of arrival only the first dozen would: one starts every 21 ms.
    assertThat(inTime).isAtLeast(50);
    assertThat(delaysMs.stream().allMatch(delayMs -> delayMs <= 1_500)).isTrue();
    assertThat(rejected).isGreaterThan(50);
    assertThat(queue.size()).isEqualTo(0);
  }
}
