package io.mothrill.wire.http;

import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import java.net.InetSocketAddress;

/**
 * The address of a server.
 *
 * @param host an IP address
 * @param port a TCP port
 */
public record Address(String host, int port) {

  /**
   * Parses an address.
   *
   * @param text the address in the form {@code HOST:PORT}
   * @param path the path of the input field or option, for the error message
   * @return the address
   * @throws InvalidInputException when the text is not an address
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
   * Converts the address to a socket address.
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
