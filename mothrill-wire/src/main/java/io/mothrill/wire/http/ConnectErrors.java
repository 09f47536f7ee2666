package io.mothrill.wire.http;

import io.mothrill.core.forward.path.PathOutcome;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/** Distinguishes refused connections from other connect errors. */
public final class ConnectErrors {

  private ConnectErrors() {}

  /**
   * Returns what a connect error shows.
   *
   * <p>A host refuses a connection because nothing listens on the port, which means that the
   * process has ended. A connect timeout does not show that.
   *
   * @param cause the error
   * @return {@link PathOutcome#REFUSED} or {@link PathOutcome#UNREACHABLE}
   */
  public static PathOutcome outcomeOf(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)
        ? PathOutcome.REFUSED
        : PathOutcome.UNREACHABLE;
  }
}
