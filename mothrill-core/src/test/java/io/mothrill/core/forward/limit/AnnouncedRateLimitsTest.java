package io.mothrill.core.forward.limit;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.permit.RateLimit;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.TestUpstreams;
import io.mothrill.core.forward.upstream.UpstreamList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class AnnouncedRateLimitsTest {

  private final ManualTimers timers = new ManualTimers();
  private final RegisteredUpstream upstream = TestUpstreams.started("i-1", "konya", 1);
  private final PublishedValue<UpstreamList> list =
      new PublishedValue<>(new UpstreamList(List.of(upstream)));
  private final List<RateLimitReport> reports = new ArrayList<>();
  private final AnnouncedRateLimits limits =
      new AnnouncedRateLimits(List::of, (report, to) -> reports.add(report), list, timers);

  private void answer(long sentMs, OptionalDouble limitPerS) {
    limits.onAnswer(upstream, sentMs, limitPerS);
  }

  @Test
  void limitHoldsWhileAnswersAnnounceIt() {
    answer(timers.nowMs(), OptionalDouble.of(1.4));
    assertThat(limits.limitedCount()).isEqualTo(1);

    timers.advanceMs(1);
    answer(timers.nowMs(), OptionalDouble.empty());

    assertThat(limits.limitedCount()).isEqualTo(0);
  }

  // Two answers arrive out of order: the later one is from before the limit.
  @Test
  void answerToAnEarlierRequestDoesNotEndTheLimit() {
    long sentMs = timers.nowMs();
    timers.advanceMs(1);
    answer(timers.nowMs(), OptionalDouble.of(1));

    answer(sentMs, OptionalDouble.empty());

    assertThat(limits.limitedCount()).isEqualTo(1);
  }

  @Test
  void enforcesLimitOverFourSeconds() {
    answer(timers.nowMs(), OptionalDouble.of(1.4));

    assertThat(limits.find(upstream)).isEqualTo(Optional.of(new RateLimit(5, 4_000, 0, 4_000)));
  }

  @Test
  void enforcesLowLimitOverLongerWindow() {
    answer(timers.nowMs(), OptionalDouble.of(0.2));

    assertThat(limits.find(upstream)).isEqualTo(Optional.of(new RateLimit(2, 10_000, 0, 4_000)));
  }

  @Test
  void limitOfZeroAllowsNothing() {
    answer(timers.nowMs(), OptionalDouble.of(0));

    assertThat(limits.find(upstream).orElseThrow().maxRequests()).isEqualTo(0);
    assertThat(limits.retryAfterMs(upstream)).isEqualTo(4_000);
  }

  private static RateLimitReport announcing(double limitPerS) {
    return new RateLimitReport("i-1@1", OptionalDouble.of(limitPerS));
  }

  private static RateLimitReport ended() {
    return new RateLimitReport("i-1@1", OptionalDouble.empty());
  }

  @Test
  void reportsBeginChangeAndEndOfLimit() {
    answer(timers.nowMs(), OptionalDouble.of(1));
    timers.advanceMs(600);
    answer(timers.nowMs(), OptionalDouble.of(2));
    timers.advanceMs(600);
    answer(timers.nowMs(), OptionalDouble.empty());
    timers.advanceMs(600);

    assertThat(reports).containsExactly(announcing(1), announcing(2), ended()).inOrder();
  }

  // An instance that misses the end of the limit would not send to the upstream for a long time.
  @Test
  void reportsTheEndTwice() {
    answer(timers.nowMs(), OptionalDouble.of(1));
    timers.advanceMs(1);
    answer(timers.nowMs(), OptionalDouble.empty());
    reports.clear();

    timers.advanceMs(3_000);

    assertThat(reports).containsExactly(ended());
  }

  // An upstream whose limit follows its load announces another one in each answer.
  @Test
  void constantlyChangingLimitIsReportedTwicePerSecond() {
    for (int answers = 0; answers < 100; answers++) {
      answer(timers.nowMs(), OptionalDouble.of(1 + answers / 100.0));
      timers.advanceMs(10);
    }

    assertThat(reports).hasSize(2);
  }

  // An upstream announces a limit in every other answer.
  @Test
  void alternatingLimitIsReportedWithinLimits() {
    for (int answers = 0; answers < 900; answers++) {
      answer(timers.nowMs(), OptionalDouble.of(1));
      timers.advanceMs(1);
      answer(timers.nowMs(), OptionalDouble.empty());
    }

    assertThat(reports.size()).isAtMost(20);
  }

  @Test
  void reportedLimitHoldsHereToo() {
    limits.onReport(announcing(1));
    assertThat(limits.find(upstream)).isPresent();

    timers.advanceMs(2_001);
    limits.onReport(ended());
    assertThat(limits.find(upstream)).isEmpty();
  }

  // The report was sent before the upstream announced its limit, and arrived late.
  @Test
  void reportThatAllowsMoreDoesNotOverrideRecentAnnouncement() {
    answer(timers.nowMs(), OptionalDouble.of(1));
    timers.advanceMs(2_000);

    limits.onReport(ended());
    limits.onReport(announcing(500));
    assertThat(limits.find(upstream).orElseThrow().maxRequests()).isEqualTo(4);

    timers.advanceMs(1);
    limits.onReport(announcing(500));
    assertThat(limits.find(upstream).orElseThrow().maxRequests()).isEqualTo(2_000);
  }

  @Test
  void reportThatAllowsLessCountsAtOnce() {
    answer(timers.nowMs(), OptionalDouble.of(500));

    limits.onReport(announcing(1));

    assertThat(limits.find(upstream).orElseThrow().maxRequests()).isEqualTo(4);
  }

  @Test
  void ignoresReportAboutEarlierProcess() {
    limits.onReport(new RateLimitReport("i-1@0", OptionalDouble.of(1)));

    assertThat(limits.limitedCount()).isEqualTo(0);
  }

  // Entries expire while the store is unreachable, and return unchanged afterwards.
  @Test
  void limitOutlastsExpiredEntry() {
    answer(timers.nowMs(), OptionalDouble.of(1));
    timers.advanceMs(12_000);

    list.publish(UpstreamList.empty());
    list.publish(new UpstreamList(List.of(upstream)));

    assertThat(limits.find(upstream)).isPresent();
  }

  @Test
  void limitOfUnregisteredUpstreamIsRemoved() {
    answer(timers.nowMs(), OptionalDouble.of(1));
    timers.advanceMs(60_001);

    list.publish(UpstreamList.empty());

    assertThat(limits.limitedCount()).isEqualTo(0);
  }

  @Test
  void countsRequestsSentSinceTheAnnouncement() {
    limits.onSent(upstream);
    answer(timers.nowMs(), OptionalDouble.of(1));

    limits.onSent(upstream);
    limits.onSent(upstream);

    assertThat(limits.sentCount()).isEqualTo(2);
  }

  @Test
  void limitEndsWithTheProcessThatAnnouncedIt() {
    answer(timers.nowMs(), OptionalDouble.of(1));

    list.publish(new UpstreamList(List.of(TestUpstreams.started("i-1", "konya", 2))));

    assertThat(limits.limitedCount()).isEqualTo(0);
  }
}
