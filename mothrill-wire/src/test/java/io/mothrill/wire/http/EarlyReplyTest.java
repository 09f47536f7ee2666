package io.mothrill.wire.http;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.mothrill.wire.http.error.HttpException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

// Guards against a part of a response looking whole, and a whole one being lost, when a server
// responds without a length before it has read the request.
class EarlyReplyTest {

  private static final int REQUEST_BYTES = 256 << 10;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private CompletableFuture<HttpReply> call(ServerSocket listener, int requestBytes) {
    return ResponseAggregator.of(
        new HttpClient(group),
        new Address("127.0.0.1", listener.getLocalPort()),
        HttpMethod.POST,
        "/",
        new DefaultHttpHeaders(),
        new byte[requestBytes],
        10_000);
  }

  /** Reads the head of a request and as much of its body. */
  private static void read(Socket connection, int bodyBytes) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) connection.getInputStream().read());
    }
    assertThat(connection.getInputStream().readNBytes(bodyBytes)).hasLength(bodyBytes);
  }

  private static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  private static void send(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(US_ASCII));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1_000, REQUEST_BYTES - 1})
  void replyToRequestThatIsNotTakenFails(int bytesRead) throws IOException {
    try (ServerSocket listener = listen()) {
      final CompletableFuture<HttpReply> reply = call(listener, REQUEST_BYTES);
      Socket connection = listener.accept();
      read(connection, bytesRead);
      send(connection, HEAD + "first");
      connection.close();

      ExecutionException error =
          assertThrows(ExecutionException.class, () -> reply.get(10, TimeUnit.SECONDS));
      assertThat(error).hasCauseThat().isInstanceOf(HttpException.class);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1_000, REQUEST_BYTES})
  void replyToRequestThatIsTakenIsWhole(int requestBytes) throws Exception {
    try (ServerSocket listener = listen()) {
      final CompletableFuture<HttpReply> reply = call(listener, requestBytes);
      Socket connection = listener.accept();
      send(connection, HEAD + "first");
      read(connection, requestBytes);
      connection.close();

      assertThat(reply.get(10, TimeUnit.SECONDS).body()).hasLength(5);
    }
  }

  // The server ends its output first and reads on.
  @Test
  void replyOfServerThatReadsOnIsWhole() throws Exception {
    try (ServerSocket listener = listen()) {
      CompletableFuture<HttpReply> reply = call(listener, 64 * REQUEST_BYTES);
      try (Socket connection = listener.accept()) {
        send(connection, HEAD + "first");
        connection.shutdownOutput();
        read(connection, 64 * REQUEST_BYTES);

        assertThat(reply.get(10, TimeUnit.SECONDS).body()).hasLength(5);
      }
    }
  }
}
