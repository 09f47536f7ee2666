package io.mothrill.core.forward.overload;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.work.WorkAccount;
import io.mothrill.core.work.WorkKind;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

// Pattern: one caller sends a hundred requests a second with long prompts, all on connections to
// the
// same small instance, and fills its link; the neighbours' links are idle. Each request sent back
// is
// served by a neighbour milliseconds later, each one kept waits behind the others' bodies.
class LoadSheddingTest {

  /** A link of 7 megabits, as the smallest instances have. */
  private static final double BYTES_PER_S = 875_000;

  private static final int REQUESTS = 10_000;

  private final ManualTimers timers = new ManualTimers();
  private final WorkAccount work = new WorkAccount();
  private final LinkLoad link = new LinkLoad(BYTES_PER_S, work, timers);
  private OptionalDouble neighbours = OptionalDouble.of(0.1);
  private final LoadShedding shedding =
      new LoadShedding(link, () -> neighbours, new SplittableRandom(1));

  /** Uses a part of the link for some seconds. */
  private void use(double part) {
    for (int turn = 0; turn < 50; turn++) {
      work.onReceived(WorkKind.CALLER, Math.round(part * BYTES_PER_S / 10));
      timers.advanceMs(100);
    }
  }

  private double shedShare() {
    return IntStream.range(0, REQUESTS).filter(number -> shedding.sheds()).count()
        / (double) REQUESTS;
  }

  @Test
  void calmLinkKeepsAll() {
    use(0.55);

    assertThat(shedShare()).isEqualTo(0.0);
  }

  @Test
  void fullerLinkSendsBackMore() {
    use(0.7);
    assertThat(shedShare()).isWithin(0.03).of(0.25);

    use(0.8);
    assertThat(shedShare()).isWithin(0.03).of(0.5);
  }

  @Test
  void neverSendsAllBack() {
    use(3);

    assertThat(shedShare()).isWithin(0.03).of(0.6);
  }

  @Test
  void sentBytesCountAsWell() {
    for (int turn = 0; turn < 50; turn++) {
      work.onSent(WorkKind.UPSTREAM, Math.round(0.8 * BYTES_PER_S / 10));
      timers.advanceMs(100);
    }

    assertThat(shedShare()).isWithin(0.03).of(0.5);
  }

  // Everybody has too much: whoever is sent back meets the same elsewhere, and has lost time and
  // its
  // one repeat.
  @Test
  void keepsAllWhereNeighboursAreBusyToo() {
    use(0.9);
    neighbours = OptionalDouble.of(0.5);

    assertThat(shedShare()).isEqualTo(0.0);
  }

  @Test
  void keepsAllWithoutNeighbours() {
    use(0.9);
    neighbours = OptionalDouble.empty();

    assertThat(shedShare()).isEqualTo(0.0);
  }

  @Test
  void unknownLinkIsNeverFull() {
    LinkLoad unknown = new LinkLoad(0, work, timers);
    use(3);

    assertThat(unknown.used()).isEqualTo(0.0);
  }

  @Test
  void singleLongPromptDoesNotCount() {
    use(0.1);
    work.onReceived(WorkKind.CALLER, 72_000);
    timers.advanceMs(100);

    assertThat(shedShare()).isEqualTo(0.0);
  }
}
