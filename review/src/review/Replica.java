package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A replica on a raw socket: reads the head of each request, and a handler does the rest. */
final class Replica implements AutoCloseable {

  /** The head of a request. */
  record Head(String line, Map<String, String> headers) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int length() {
      String length = header("Content-Length");
      return length.isEmpty() ? 0 : Integer.parseInt(length);
    }
  }

  /** Reads the body and answers; the connection is closed if it returns false. */
  interface Handler {
    boolean serve(Head head, Socket socket) throws IOException;
  }

  private final ServerSocket listener;
  private final Handler handler;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  Replica(Handler handler, int receiveBytes) throws IOException {
    this.handler = handler;
    this.listener = new ServerSocket();
    if (receiveBytes > 0) {
      listener.setReceiveBufferSize(receiveBytes);
    }
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
    Thread thread = new Thread(this::accept);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        open.add(socket);
        Thread thread = new Thread(() -> serve(socket));
        thread.setDaemon(true);
        thread.start();
      } catch (IOException ex) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      Head head = readHead(socket.getInputStream());
      while (head != null && handler.serve(head, socket)) {
        head = readHead(socket.getInputStream());
      }
    } catch (IOException ex) {
      // The other end has closed the connection.
    } finally {
      open.remove(socket);
    }
  }

  /** Reads up to the empty line; null at the end of the connection. */
  static Head readHead(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new HashMap<>();
    for (String field = readLine(in); field != null && !field.isEmpty(); field = readLine(in)) {
      int colon = field.indexOf(':');
      headers.put(
          field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
    }
    return new Head(line, headers);
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** The process ends: the port refuses connections, and the system resets the open ones. */
  void crash() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    crash();
  }
}
