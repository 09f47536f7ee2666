package io.mothrill.core.forward.path;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.TestUpstreams;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import java.util.List;
import org.junit.jupiter.api.Test;

class UpstreamPathsTest {

  private static final RegisteredUpstream ONE = TestUpstreams.started("i-1", "konya", 1_000);
  private static final RegisteredUpstream TWO = TestUpstreams.started("i-2", "konya", 1_000);

  private final ManualTimers timers = new ManualTimers();
  private final UpstreamLoads loads = new UpstreamLoads();
  private final UpstreamPaths paths =
      new UpstreamPaths(new PublishedValue<>(new UpstreamList(List.of(ONE, TWO))), loads, timers);

  // Requests are in flight at two upstreams and one of them goes silent.
  @Test
  void countsSilentUpstreamUntilItIsHeardAgain() {
    loads.of(ONE.incarnation()).onSent(0);
    loads.of(TWO.incarnation()).onSent(0);
    for (int step = 0; step < 10; step++) {
      timers.advanceMs(100);
      paths.onContact(TWO);
    }

    assertThat(paths.counts().byFailure()).containsExactly(PathFailure.SILENT, 1L);

    paths.onContact(ONE);

    assertThat(paths.counts().failing()).isEqualTo(0);
  }

  // Nothing is received from an upstream because nothing is asked of it.
  @Test
  void upstreamWithoutRequestsIsNotSilent() {
    timers.advanceMs(5_000);

    assertThat(paths.counts().failing()).isEqualTo(0);
  }

  @Test
  void countsFailuresByTheirLastKind() {
    paths.onFailure(ONE, PathFailure.LOST);
    paths.onFailure(ONE, PathFailure.REFUSED);
    paths.onFailure(TWO, PathFailure.TIMED_OUT);

    assertThat(paths.counts().byFailure())
        .containsExactly(PathFailure.REFUSED, 1L, PathFailure.TIMED_OUT, 1L);
  }
}
