package io.mothrill.wire.forward;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/** Distinguishes refused connections from other connect errors. */
final class ConnectErrors {

  private ConnectErrors() {}

  /**
   * Checks whether the host refused the connection because nothing listens on the port, which means
   * that the process has ended. A connect timeout does not show that.
   */
  static boolean isConnectionRefused(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }
}
