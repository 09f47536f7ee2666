package io.mothrill.core.forward.contention;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Measures the delay that all responses to this instance have in common.
 *
 * <p>A busy link of the instance delays every response. Without this measure one such instance
 * would report all upstreams as slow, and all others would avoid them.
 */
final class CommonDelay {

  /** Several responses arrive within this time while a link is busy. */
  private static final long WINDOW_MS = 500;

  /** The smallest delay at fewer upstreams may be the wait there. */
  private static final int MIN_UPSTREAMS = 4;

  private long windowStartMs = Long.MIN_VALUE / 2;
  private Window current = Window.EMPTY;
  private Window previous = Window.EMPTY;

  private record Window(Set<String> upstreams, double smallestMs) {

    static final Window EMPTY = new Window(Set.of(), Double.MAX_VALUE);

    Window with(Window other) {
      return new Window(
          Stream.of(upstreams, other.upstreams)
              .flatMap(Set::stream)
              .limit(2 * MIN_UPSTREAMS)
              .collect(Collectors.toSet()),
          Math.min(smallestMs, other.smallestMs));
    }
  }

  /** Records by how much a response exceeded its expected time. */
  synchronized void onResponse(String incarnation, double excessMs, long nowMs) {
    advance(nowMs);
    current = current.with(new Window(Set.of(incarnation), Math.max(0, excessMs)));
  }

  /** Returns the delay that no recent response has been without. */
  synchronized double ms(long nowMs) {
    advance(nowMs);
    Window recent = current.with(previous);
    return recent.upstreams().size() < MIN_UPSTREAMS ? 0 : recent.smallestMs();
  }

  private void advance(long nowMs) {
    long sinceMs = nowMs - windowStartMs;
    if (sinceMs >= WINDOW_MS) {
      previous = sinceMs < 2 * WINDOW_MS ? current : Window.EMPTY;
      current = Window.EMPTY;
      windowStartMs = nowMs;
    }
  }
}
