package io.mothrill.wire.forward;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/** Tells connections that were refused from those that only failed. */
final class ConnectErrors {

  private ConnectErrors() {}

  /**
   * Says whether a machine answered that nobody listens there: the process has ended. A connection
   * that timed out says nothing of it.
   */
  static boolean isConnectionRefused(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }
}
