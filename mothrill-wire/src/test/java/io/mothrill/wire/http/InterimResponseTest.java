package io.mothrill.wire.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.US_ASCII;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

// Guards against an interim response ending its call, so that the final one becomes the response to
// the next call.
class InterimResponseTest {

  private static final String FINAL = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group);

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private CompletableFuture<HttpReply> call(ServerSocket listener) {
    return ResponseAggregator.of(
        client,
        new Address("127.0.0.1", listener.getLocalPort()),
        HttpMethod.GET,
        "/",
        new DefaultHttpHeaders(),
        new byte[0],
        10_000);
  }

  /** Waits until everything that was sent to the client, which has one event loop, was read. */
  private void awaitRead() throws Exception {
    group.submit(() -> {}).get(5, TimeUnit.SECONDS);
    group.submit(() -> {}).get(5, TimeUnit.SECONDS);
  }

  private static void readCall(BufferedReader reader) throws IOException {
    String line = reader.readLine();
    while (line != null && !line.isEmpty()) {
      line = reader.readLine();
    }
  }

  private static void send(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(US_ASCII));
  }

  @Test
  void finalResponseFollowsInterimOneInTheSameRead() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      CompletableFuture<HttpReply> reply = call(listener);
      try (Socket connection = listener.accept()) {
        readCall(new BufferedReader(new InputStreamReader(connection.getInputStream(), US_ASCII)));
        send(connection, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + FINAL);

        HttpReply received = reply.get(5, TimeUnit.SECONDS);
        assertThat(received.status()).isEqualTo(200);
        assertThat(new String(received.body(), US_ASCII)).isEqualTo("first");
      }
    }
  }

  // A reply that ends with the interim response puts its connection back into the pool; the final
  // response then meets the next call.
  @Test
  void finalResponseIsNeverTheResponseToTheNextCall() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      CompletableFuture<HttpReply> first = call(listener);
      try (Socket connection = listener.accept()) {
        BufferedReader reader =
            new BufferedReader(new InputStreamReader(connection.getInputStream(), US_ASCII));
        readCall(reader);
        send(connection, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
        awaitRead();
        if (!first.isDone()) {
          send(connection, FINAL);
          assertThat(first.get(5, TimeUnit.SECONDS).status()).isEqualTo(200);
          return;
        }
        CompletableFuture<HttpReply> next = call(listener);
        readCall(reader);
        send(connection, FINAL);
        assertNotFirst(next);
      }
    }
  }

  private static void assertNotFirst(CompletableFuture<HttpReply> next) throws Exception {
    try {
      HttpReply received = next.get(5, TimeUnit.SECONDS);
      assertWithMessage("response to the next call")
          .that(new String(received.body(), US_ASCII))
          .isNotEqualTo("first");
    } catch (ExecutionException ex) {
      // A failure is not the response to another call.
    }
  }
}
