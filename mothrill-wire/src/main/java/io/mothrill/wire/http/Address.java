package io.mothrill.wire.http;

import java.net.InetSocketAddress;

/**
 * Where a server listens.
 *
 * @param host an IP address
 * @param port a TCP port
 */
public record Address(String host, int port) {

  /**
   * Makes the address for a socket.
   *
   * @return the socket address
   */
  public InetSocketAddress toSocketAddress() {
    return new InetSocketAddress(host, port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
