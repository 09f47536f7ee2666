package io.mothrill.wire.forward;

import io.mothrill.wire.http.Address;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * The listening socket for callers, opened before anything else of the instance is started.
 *
 * <p>When an instance restarts, its port would be closed while the runtime loads the classes that
 * serve callers, for about half a second; callers would be refused twice within milliseconds and
 * give up. With the socket opened first, they wait in its accept queue for that time and are then
 * served.
 *
 * <pre>{@code
 * CallerListener listener = CallerListener.open(new Address("10.1.0.40", 8227));
 * }</pre>
 */
public final class CallerListener {

  /** Size of the accept queue; covers one second of heavy load on one instance. */
  private static final int BACKLOG = 1_024;

  private final ServerSocketChannel channel;

  private CallerListener(ServerSocketChannel channel) {
    this.channel = channel;
  }

  /**
   * Opens the listening socket.
   *
   * @param address the address to listen on; port 0 selects a free port
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

  /** Returns the socket for the event loops. */
  ServerSocketChannel channel() {
    return channel;
  }
}
