package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A replica in a process of its own, which answers a long request before it has read all of it. */
final class ReplicaProcess {

  static final int ANSWER_BYTES = 8_000;
  private static final int FIRST_BYTES = 2_000;
  private static final int READ_FIRST_BYTES = 64 << 10;
  private static final long PAUSE_MS = 1_000;

  private ReplicaProcess() {}

  public static void main(String[] args) throws Exception {
    Replica replica = new Replica(ReplicaProcess::serve, Integer.parseInt(args[0]));
    System.out.println("listens " + replica.address());
    Thread.sleep(120_000);
  }

  /** The whole answer to a request. */
  static byte[] answerTo(String request) {
    byte[] body = new byte[ANSWER_BYTES];
    Arrays.fill(body, (byte) request.charAt(request.length() - 1));
    return body;
  }

  private static boolean serve(Replica.Head head, Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    OutputStream out = socket.getOutputStream();
    String request = head.header("Attempt-Id");
    byte[] answer = answerTo(request);
    int first = in.readNBytes(READ_FIRST_BYTES).length;
    out.write(
        ("HTTP/1.1 200 OK\r\nAttempt-Id: " + request + "\r\nReplica-Signature: s." + request
                + "\r\nConnection: close\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    out.write(answer, 0, FIRST_BYTES);
    System.out.println("began " + request);
    try {
      Thread.sleep(PAUSE_MS);
    } catch (InterruptedException ex) {
      return false;
    }
    in.readNBytes(head.length() - first);
    out.write(answer, FIRST_BYTES, ANSWER_BYTES - FIRST_BYTES);
    System.out.println("ended " + request);
    return false;
  }
}
