package io.mothrill.wire.platform;

import io.mothrill.core.error.Failures;
import io.mothrill.core.platform.error.PlatformException;
import io.mothrill.wire.http.error.HttpException;

/**
 * Turns the HTTP layer's error of a call to the platform into the platform layer's.
 *
 * <p>A call that was never sent has surely done nothing; one that was sent may have been carried
 * out though its answer is lost.
 */
public final class PlatformErrorMapper {

  private PlatformErrorMapper() {}

  /**
   * Turns an error.
   *
   * @param path the path that was called
   * @param error what the call ended with, wrapped or not
   * @return the platform layer's error; one that is not the HTTP layer's stays as it is
   */
  public static Throwable map(String path, Throwable error) {
    Throwable cause = Failures.unwrap(error);
    if (!(cause instanceof HttpException broken)) {
      return cause;
    }
    String detail = path + ": " + broken.getMessage();
    return broken.isSent()
        ? PlatformException.answerLost(detail)
        : PlatformException.unreachable(detail);
  }
}
