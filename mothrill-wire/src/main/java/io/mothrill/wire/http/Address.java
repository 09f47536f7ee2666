package io.mothrill.wire.http;

import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import java.net.InetSocketAddress;

/**
 * Where a server listens.
 *
 * @param host an IP address
 * @param port a TCP port
 */
public record Address(String host, int port) {

  /**
   * Reads an address.
   *
   * @param text the address, as {@code HOST:PORT}
   * @param path where it was given, for the error
   * @return the address
   * @throws InvalidInputException when the text is no address
   */
  public static Address parse(String text, String path) {
    int colon = text.lastIndexOf(':');
    try {
      return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    } catch (IndexOutOfBoundsException | NumberFormatException ex) {
      throw InvalidInputException.of(FieldError.refused(path, "must be HOST:PORT"));
    }
  }

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
