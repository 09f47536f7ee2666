package io.mothrill.wire.forward;

import io.mothrill.wire.http.Address;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * The socket that callers connect to, open before anything else of the instance is there.
 *
 * <p>Failure: an instance is restarted, and callers find its port closed while the runtime loads
 * what serves them. Symptom: they are refused twice within milliseconds and give up, for about half
 * a second. With the socket open first, they wait in its queue for that time and are served.
 *
 * <pre>{@code
 * CallerListener listener = CallerListener.open(new Address("10.1.0.40", 8227));
 * }</pre>
 */
public final class CallerListener {

  /** Connections that wait: a second of a heavy load on one instance. */
  private static final int BACKLOG = 1_024;

  private final ServerSocketChannel channel;

  private CallerListener(ServerSocketChannel channel) {
    this.channel = channel;
  }

  /**
   * Opens the socket.
   *
   * @param address where to listen; port 0 for any
   * @return the listener
   */
  public static CallerListener open(Address address) {
    try {
      ServerSocketChannel channel = ServerSocketChannel.open();
      channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      channel.bind(address.toSocketAddress(), BACKLOG);
      return new CallerListener(channel);
    } catch (IOException ex) {
      throw new UncheckedIOException("cannot listen for callers on " + address, ex);
    }
  }

  /** Gives the socket to the event loops. */
  ServerSocketChannel channel() {
    return channel;
  }
}
