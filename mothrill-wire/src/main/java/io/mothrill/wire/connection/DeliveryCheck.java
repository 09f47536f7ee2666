package io.mothrill.wire.connection;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Checks whether the other side of a connection has taken what was sent to it, after it has ended
 * its output.
 *
 * <p>When a process ends or closes a connection while bytes are unread, its system may send the end
 * of the stream first, and then a reset. What was received is not whole then, although the end of
 * the stream was read.
 */
public final class DeliveryCheck {

  /**
   * How long a reset may take to arrive. It follows the end of the stream at once, or after the
   * next bytes.
   */
  private static final long RESET_WAIT_MS = 20;

  private DeliveryCheck() {}

  /**
   * Checks a connection whose input has ended. The connection must stay open until the result is
   * known; only the result of writing counts if it is closed.
   *
   * @param connection the connection
   * @param written completes once everything was handed to the system, or could not be
   * @param onResult receives whether everything was taken, as far as this side can tell; called on
   *     the event loop of the connection
   */
  public static void check(Channel connection, Future<?> written, Consumer<Boolean> onResult) {
    var unused =
        written.addListener(
            sent -> {
              if (sent.isSuccess() && connection.isActive()) {
                awaitReset(connection, onResult);
              } else {
                onResult.accept(sent.isSuccess());
              }
            });
  }

  private static void awaitReset(Channel connection, Consumer<Boolean> onResult) {
    connection
        .eventLoop()
        .schedule(
            () -> onResult.accept(!hasFailed(connection)), RESET_WAIT_MS, TimeUnit.MILLISECONDS);
  }

  /** Checks whether a connection has failed, for example as the other side has reset it. */
  static boolean hasFailed(Channel connection) {
    return connection instanceof ReceivingSocketChannel channel && channel.hasFailed();
  }
}
