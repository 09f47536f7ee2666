package io.mothrill.wire.http;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import io.mothrill.wire.json.Json;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

// Guards against requests to the operator's interface that could not be decoded being served as far
// as they were understood.
class MalformedRequestTest {

  private static final int READ_TIMEOUT_MS = 10_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicInteger served = new AtomicInteger();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X A: b",
        "X-A : b",
        "XA",
        "X\u0001A: b",
        "X-A: \u0001",
        "Content-Length: x",
        "Transfer-Encoding: chunked"
      })
  void requestIsRefusedAndItsConnectionClosed(String line) throws IOException {
    HttpServer server =
        HttpServer.ofService(
            group,
            "127.0.0.1",
            0,
            request -> {
              served.incrementAndGet();
              return CompletableFuture.completedFuture(HttpReply.json(200, Json.object()));
            });
    String request = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n" + line + "\r\n\r\nab";

    try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      caller.setSoTimeout(READ_TIMEOUT_MS);
      caller.getOutputStream().write(request.getBytes(US_ASCII));

      assertThat(new String(caller.getInputStream().readAllBytes(), US_ASCII))
          .startsWith("HTTP/1.1 400 ");
    }
    assertThat(served.get()).isEqualTo(0);
    server.close();
  }
}
