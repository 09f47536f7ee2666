package io.mothrill.wire.platform;

import io.mothrill.core.error.Failures;
import io.mothrill.core.platform.error.PlatformException;
import io.mothrill.wire.http.error.HttpException;

/**
 * Converts HTTP errors of calls to the platform into {@link PlatformException}s.
 *
 * <p>A call that was never sent had no effect; one that was sent may have taken effect although its
 * response was lost.
 */
public final class PlatformErrorMapper {

  private PlatformErrorMapper() {}

  /**
   * Converts an error.
   *
   * @param path the called path
   * @param error the error of the call, possibly wrapped by a future
   * @return the platform exception; any other error is returned unwrapped
   */
  public static Throwable map(String path, Throwable error) {
    Throwable cause = Failures.unwrap(error);
    if (!(cause instanceof HttpException broken)) {
      return cause;
    }
    String detail = path + ": " + broken.getMessage();
    return broken.isSent()
        ? PlatformException.responseLost(detail)
        : PlatformException.unreachable(detail);
  }
}
