package io.mothrill.wire.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.US_ASCII;

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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

// Guards against a part of a response that is read as a whole one, when the store or an upstream
// stops in the middle and closes or resets the connection.
class TruncatedReplyTest {

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group);

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nX: 1\r\nContent-Length: 10\r\n\r\n0123456789",
        "HTTP/1.1 200 OK\r\nX: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n"
      })
  void callFailsAtEachCut(String response) throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      for (int chars = 0; chars < response.length(); chars++) {
        for (boolean isReset : new boolean[] {false, true}) {
          CompletableFuture<HttpReply> reply = call(listener.getLocalPort());
          respond(listener, response.substring(0, chars), isReset);

          assertWithMessage("cut=%s reset=%s", chars, isReset)
              .that(failureOf(reply))
              .isInstanceOf(HttpException.class);
        }
      }
    }
  }

  // Without a length, the end of the connection is the end of the response, but a reset isn't.
  @ParameterizedTest
  @ValueSource(strings = {"", "0", "01234"})
  void resetDoesNotEndResponseWithoutLength(String part) throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<HttpReply> reply = call(listener.getLocalPort());
      respond(listener, "HTTP/1.1 200 OK\r\n\r\n" + part, true);

      assertThat(failureOf(reply)).isInstanceOf(HttpException.class);
    }
  }

  private CompletableFuture<HttpReply> call(int port) {
    return ResponseAggregator.of(
        client,
        new Address("127.0.0.1", port),
        HttpMethod.GET,
        "/",
        new DefaultHttpHeaders(),
        new byte[0],
        10_000);
  }

  private static void respond(ServerSocket listener, String part, boolean isReset)
      throws IOException {
    try (Socket connection = listener.accept()) {
      int unused = connection.getInputStream().read(new byte[4_096]);
      connection.getOutputStream().write(part.getBytes(US_ASCII));
      if (isReset) {
        connection.setSoLinger(true, 0);
      }
    }
  }

  private static Throwable failureOf(CompletableFuture<HttpReply> reply) throws Exception {
    try {
      reply.get(5, TimeUnit.SECONDS);
      return null;
    } catch (ExecutionException ex) {
      return ex.getCause();
    }
  }
}
