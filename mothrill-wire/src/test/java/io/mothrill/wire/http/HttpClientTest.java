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
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class HttpClientTest {

  private static final long TIMEOUT_MS = 200;

  /** What a response may hold, and the sockets, with a margin. */
  private static final long MAX_SENT_BYTES = 64 << 20;

  private final EventLoopGroup serverGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoopGroup clientGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final CompletableFuture<HttpReply> awaitedReply = new CompletableFuture<>();
  private final CountDownLatch awaitedRequest = new CountDownLatch(1);
  private final HttpServer server = HttpServer.ofService(serverGroup, "127.0.0.1", 0, this::serve);
  private final HttpClient client = new HttpClient(clientGroup);

  private CompletableFuture<HttpReply> serve(HttpServerRequest request) {
    if (request.path().equals("/awaited")) {
      awaitedRequest.countDown();
      return awaitedReply;
    }
    return CompletableFuture.completedFuture(HttpReply.text(200, "other"));
  }

  @AfterEach
  void stop() {
    server.close();
    serverGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    clientGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private Address address() {
    return new Address("127.0.0.1", server.port());
  }

  // The server begins a response without a length before it has read the call, and is reset. The
  // reset is found by a write, and the response must not look complete.
  @Test
  void responseThatIsResetWhileTheCallIsWrittenIsNotWhole() throws Exception {
    try (ServerSocket listener = new ServerSocket()) {
      listener.setReceiveBufferSize(64 << 10);
      listener.bind(new InetSocketAddress("127.0.0.1", 0));
      CompletableFuture<Void> begun = new CompletableFuture<>();
      CompletableFuture<HttpReply> reply =
          ResponseAggregator.of(
              client,
              new Address("127.0.0.1", listener.getLocalPort()),
              HttpMethod.POST,
              "/",
              new DefaultHttpHeaders(),
              new byte[16 << 20],
              10_000,
              () -> begun.complete(null));

      try (Socket connection = listener.accept()) {
        connection.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nfirst".getBytes(US_ASCII));
        begun.get(5, TimeUnit.SECONDS);
        connection.setSoLinger(true, 0);
      }

      assertThrows(ExecutionException.class, () -> reply.get(5, TimeUnit.SECONDS));
    }
  }

  // A server sends bytes without end. The call must fail rather than be held until memory runs out,
  // or end with a part of the response.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "", // a first line
        "HTTP/1.1 200 OK\r\nX: ",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      })
  void responseWithoutEndFails(String beginning) throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<HttpReply> reply =
          ResponseAggregator.of(
              client,
              new Address("127.0.0.1", listener.getLocalPort()),
              HttpMethod.GET,
              "/",
              new DefaultHttpHeaders(),
              new byte[0],
              10_000);

      long sentBytes = sendUntilClosed(listener, beginning, "1");

      ExecutionException error =
          assertThrows(ExecutionException.class, () -> reply.get(5, TimeUnit.SECONDS));
      assertThat(error).hasCauseThat().isInstanceOf(HttpException.class);
      assertThat(sentBytes).isLessThan(MAX_SENT_BYTES);
    }
  }

  // A server sends what is no part of a body without end. The call must fail and cost little.
  @ParameterizedTest
  @CsvSource({
    "HTTP/1.1 200 OK~, X: 1~",
    "HTTP/1.1 100 Continue~~, HTTP/1.1 100 Continue~~",
    "~, ~",
    "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1;, x",
    "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~0~, X: 1~",
    "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~0~X: , 1"
  })
  void framesWithoutEndFail(String beginning, String repeated) throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      final CompletableFuture<HttpReply> reply = get(listener, 10_000);

      long sentBytes =
          sendUntilClosed(listener, beginning.replace("~", "\r\n"), repeated.replace("~", "\r\n"));

      assertThrows(ExecutionException.class, () -> reply.get(5, TimeUnit.SECONDS));
      assertThat(sentBytes).isLessThan(MAX_SENT_BYTES);
    }
  }

  // A server sends a byte now and then without end, in a head or a body. It is never silent, and
  // the call must fail rather than be held forever.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nX: ",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n"
      })
  void slowResponseWithoutEndFails(String beginning) throws Exception {
    ScheduledExecutorService sender = Executors.newSingleThreadScheduledExecutor();
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<HttpReply> reply = get(listener, TIMEOUT_MS);

      try (Socket connection = listener.accept()) {
        connection.getOutputStream().write(beginning.getBytes(US_ASCII));
        sender.scheduleAtFixedRate(
            () -> sendByte(connection), 0, TIMEOUT_MS / 10, TimeUnit.MILLISECONDS);
        ExecutionException error =
            assertThrows(ExecutionException.class, () -> reply.get(10, TimeUnit.SECONDS));
        assertThat(error).hasCauseThat().isInstanceOf(HttpException.class);
      }
    } finally {
      sender.shutdownNow();
    }
  }

  private static void sendByte(Socket connection) {
    try {
      connection.getOutputStream().write('1');
    } catch (IOException ex) {
      throw new UncheckedIOException(ex);
    }
  }

  private CompletableFuture<HttpReply> get(ServerSocket listener, long timeoutMs) {
    return ResponseAggregator.of(
        client,
        new Address("127.0.0.1", listener.getLocalPort()),
        HttpMethod.GET,
        "/",
        new DefaultHttpHeaders(),
        new byte[0],
        timeoutMs);
  }

  private static long sendUntilClosed(ServerSocket listener, String beginning, String repeated)
      throws IOException {
    byte[] block = repeated.repeat((16 << 10) / repeated.length()).getBytes(US_ASCII);
    long sentBytes = 0;
    try (Socket connection = listener.accept()) {
      connection.getOutputStream().write(beginning.getBytes(US_ASCII));
      while (sentBytes < MAX_SENT_BYTES) {
        connection.getOutputStream().write(block);
        sentBytes += block.length;
      }
    } catch (SocketException ex) {
      // The client has closed the connection.
    }
    return sentBytes;
  }

  // An event loop is busy with another connection for longer than the timeout of a call, whose
  // response arrives meanwhile. The response lies in the socket, so the call must not fail.
  @Test
  void callSucceedsIfItsResponseArrivedWhileTheEventLoopWasBusy() throws Exception {
    CompletableFuture<HttpReply> awaited =
        ResponseAggregator.of(
            client,
            address(),
            HttpMethod.GET,
            "/awaited",
            new DefaultHttpHeaders(),
            new byte[0],
            TIMEOUT_MS);
    assertThat(awaitedRequest.await(5, TimeUnit.SECONDS)).isTrue();

    client.send(
        new HttpCall(
            address(),
            "other",
            HttpMethod.GET,
            "/other",
            new DefaultHttpHeaders(),
            new byte[0],
            true,
            TIMEOUT_MS),
        new BlockingSink());

    assertThat(awaited.get(5, TimeUnit.SECONDS).status()).isEqualTo(200);
  }

  /** Blocks the event loop until the awaited response was sent and its timeout has passed. */
  private final class BlockingSink implements HttpSink {

    @Override
    public boolean onHead(HttpResponse head) {
      long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * TIMEOUT_MS);
      awaitedReply.complete(HttpReply.text(200, "awaited"));
      while (System.nanoTime() < endNanos) {
        Thread.onSpinWait();
      }
      return true;
    }

    @Override
    public void onBody(byte[] bytes) {}

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(boolean sent, String detail) {}
  }
}
