package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client connection that is kept open for many requests. */
final class Client implements AutoCloseable {

  /** An answer; complete is false if it ended early. */
  record Answer(int status, String reason, Replica.Head head, byte[] body, boolean complete) {
    boolean isSuccess() {
      return complete && status >= 200 && status < 300;
    }
  }

  private final Entry entry;
  private final int timeoutMs;
  private Socket socket;
  private InputStream in;

  Client(Entry entry, int timeoutMs) {
    this.entry = entry;
    this.timeoutMs = timeoutMs;
  }

  private void connect() throws IOException {
    socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMs);
    socket.connect(new InetSocketAddress(entry.ip(), entry.frontendPort()), 1_000);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends a request with a length and reads its answer. */
  Answer call(String method, String path, String id, String headers, byte[] body)
      throws IOException {
    if (socket == null) {
      connect();
    }
    try {
      ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.writeBytes(
          (method + " " + path + " HTTP/1.1\r\n"
                  + "Host: " + Fleet.HOST + "\r\n"
                  + "Attempt-Id: " + id + "\r\n"
                  + headers
                  + "Content-Length: " + body.length + "\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      request.writeBytes(body);
      OutputStream out = socket.getOutputStream();
      out.write(request.toByteArray());
      Answer answer = read();
      if (!answer.complete() || answer.head().header("Connection").equalsIgnoreCase("close")) {
        close();
      }
      return answer;
    } catch (IOException ex) {
      close();
      throw ex;
    }
  }

  private Answer read() throws IOException {
    Replica.Head head = Replica.readHead(in);
    if (head == null) {
      throw new IOException("connection closed without an answer");
    }
    String[] line = head.line().split(" ", 3);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete =
        head.header("Transfer-Encoding").equalsIgnoreCase("chunked")
            ? readChunks(body)
            : readLength(body, head.length());
    return new Answer(
        Integer.parseInt(line[1]),
        line.length > 2 ? line[2] : "",
        head,
        body.toByteArray(),
        complete);
  }

  private boolean readLength(ByteArrayOutputStream body, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    body.writeBytes(bytes);
    return bytes.length == length;
  }

  private boolean readChunks(ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size = Replica.readLine(in);
      if (size == null || size.isEmpty()) {
        return false;
      }
      int length = Integer.parseInt(size.strip(), 16);
      byte[] bytes = in.readNBytes(length);
      body.writeBytes(bytes);
      if (bytes.length < length || Replica.readLine(in) == null) {
        return false;
      }
      if (length == 0) {
        return true;
      }
    }
  }

  @Override
  public void close() throws IOException {
    if (socket != null) {
      socket.close();
      socket = null;
    }
  }
}
