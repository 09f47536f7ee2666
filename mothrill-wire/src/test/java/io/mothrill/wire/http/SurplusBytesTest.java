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
import io.netty.handler.codec.http.HttpResponse;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

// Guards against the bytes behind one response becoming a part of the next one on a pooled
// connection.
class SurplusBytesTest {

  private static final String SECOND =
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\nX-Last: 1\r\n\r\nfirst";
  private static final String FAILURE = "HTTP/1.1 500 Broken\r\nContent-Length: 4\r\n\r\nnext";

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
        HttpMethod.POST,
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

  private static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  /** Reads one call without a body; false at the end of the stream. */
  private static boolean readCall(BufferedReader reader) throws IOException {
    String line = reader.readLine();
    boolean begun = line != null;
    while (line != null && !line.isEmpty()) {
      line = reader.readLine();
    }
    return begun;
  }

  private static void send(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(US_ASCII));
  }

  private static BufferedReader readerOf(Socket connection) throws IOException {
    return new BufferedReader(new InputStreamReader(connection.getInputStream(), US_ASCII));
  }

  /** Answers the second call, on whichever connection it comes. */
  private static void answerSecond(ServerSocket listener, Socket first, BufferedReader reader) {
    try {
      if (readCall(reader)) {
        send(first, FAILURE);
        return;
      }
    } catch (IOException ex) {
      // The client has reset the connection, as it had unread bytes.
    }
    try (Socket second = listener.accept()) {
      readCall(readerOf(second));
      send(second, FAILURE);
    } catch (IOException ex) {
      throw new UncheckedIOException(ex);
    }
  }

  private String play(int cut, boolean idle) throws Exception {
    try (ServerSocket listener = listen()) {
      CompletableFuture<HttpReply> first = call(listener);
      try (Socket connection = listener.accept()) {
        BufferedReader reader = readerOf(connection);
        readCall(reader);
        String surplus = SECOND.substring(0, cut);
        send(connection, idle ? SECOND : SECOND + surplus);
        assertThat(first.get(5, TimeUnit.SECONDS).status()).isEqualTo(200);
        if (idle) {
          send(connection, surplus);
          awaitRead();
        }
        CompletableFuture<Void> answered =
            CompletableFuture.runAsync(() -> answerSecond(listener, connection, reader));
        HttpReply next = call(listener).get(5, TimeUnit.SECONDS);
        answered.get(5, TimeUnit.SECONDS);
        boolean own = next.status() == 500 && new String(next.body(), US_ASCII).equals("next");
        return own ? "" : "cut " + cut + ": " + next.status();
      }
    }
  }

  private void assertNeverPartOfNext(boolean idle) throws Exception {
    List<String> wrong = new ArrayList<>();
    for (int cut = 1; cut <= SECOND.length(); cut++) {
      wrong.add(play(cut, idle));
    }
    wrong.removeIf(String::isEmpty);
    assertWithMessage("cut places").that(wrong).isEmpty();
  }

  @Test
  void bytesInTheSameReadAreNeverPartOfTheNextResponse() throws Exception {
    assertNeverPartOfNext(false);
  }

  @Test
  void bytesOnAnIdleConnectionAreNeverPartOfTheNextResponse() throws Exception {
    assertNeverPartOfNext(true);
  }

  // The beginning of a response arrives after the next call was sent, in front of its response.
  @Test
  void responseThatIsJoinedFromTwoFails() throws Exception {
    for (int cut = 1; cut < SECOND.indexOf("\r\n\r\n"); cut++) {
      try (ServerSocket listener = listen()) {
        CompletableFuture<HttpReply> first = call(listener);
        try (Socket connection = listener.accept()) {
          BufferedReader reader = readerOf(connection);
          readCall(reader);
          send(connection, SECOND);
          assertThat(first.get(5, TimeUnit.SECONDS).status()).isEqualTo(200);
          CompletableFuture<HttpReply> next = call(listener);
          readCall(reader);
          send(connection, SECOND.substring(0, cut) + FAILURE);

          assertFails(next, cut);
        }
      }
    }
  }

  private static void assertFails(CompletableFuture<HttpReply> reply, int cut) throws Exception {
    try {
      HttpReply received = reply.get(5, TimeUnit.SECONDS);
      assertWithMessage("cut %s", cut).that(received.status()).isEqualTo(0);
    } catch (ExecutionException ex) {
      assertThat(ex).hasCauseThat().isInstanceOf(HttpException.class);
    }
  }

  // A call has ended, and its connection carries the next one when the first is cancelled late.
  @Test
  void cancellingAnEndedCallDoesNotEndTheNext() throws Exception {
    try (ServerSocket listener = listen()) {
      CompletableFuture<Integer> firstStatus = new CompletableFuture<>();
      HttpClient.Handle first =
          client.send(
              new HttpCall(
                  new Address("127.0.0.1", listener.getLocalPort()),
                  "",
                  HttpMethod.POST,
                  "/",
                  new DefaultHttpHeaders(),
                  new byte[0],
                  false,
                  10_000),
              new StatusSink(firstStatus));
      try (Socket connection = listener.accept()) {
        BufferedReader reader = readerOf(connection);
        readCall(reader);
        send(connection, SECOND);
        assertThat(firstStatus.get(5, TimeUnit.SECONDS)).isEqualTo(200);
        final CompletableFuture<HttpReply> next = call(listener);
        readCall(reader);
        first.cancel();
        awaitRead();
        send(connection, FAILURE);

        assertThat(next.get(5, TimeUnit.SECONDS).status()).isEqualTo(500);
      }
    }
  }

  /** Completes with the status of a response once it has ended. */
  private static final class StatusSink implements HttpSink {
    private final CompletableFuture<Integer> ended;
    private int status;

    StatusSink(CompletableFuture<Integer> ended) {
      this.ended = ended;
    }

    @Override
    public boolean onHead(HttpResponse head) {
      status = head.status().code();
      return true;
    }

    @Override
    public void onBody(byte[] bytes) {}

    @Override
    public void onEnd() {
      ended.complete(status);
    }

    @Override
    public void onFailure(boolean sent, String detail) {
      ended.completeExceptionally(new HttpException(sent, detail));
    }
  }
}
