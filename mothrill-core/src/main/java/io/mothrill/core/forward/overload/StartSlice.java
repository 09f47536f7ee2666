package io.mothrill.core.forward.overload;

import java.util.List;

/**
 * What to do with the requests that wait to be started.
 *
 * @param starts the requests to start, in this order, as far as the time of the slice suffices
 * @param rejections the requests that cannot be served in time
 * @param <T> the type of the requests
 */
public record StartSlice<T>(List<T> starts, List<Rejected<T>> rejections) {

  /** Copies the lists. */
  public StartSlice {
    starts = List.copyOf(starts);
    rejections = List.copyOf(rejections);
  }

  /**
   * A request that cannot be served in time.
   *
   * @param request the request
   * @param retryAfterMs the time that the requests in front of it take
   * @param <T> the type of the request
   */
  public record Rejected<T>(T request, long retryAfterMs) {}
}
