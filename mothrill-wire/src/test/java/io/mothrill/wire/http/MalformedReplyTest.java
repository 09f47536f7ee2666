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

// Guards against responses of the store or of an engine that break the grammar of HTTP being read
// as responses.
class MalformedReplyTest {

  private static final int REQUEST_BYTES = 100;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** Calls a server that sends this head and a body, and keeps its connection open. */
  private CompletableFuture<HttpReply> call(ServerSocket listener) {
    return ResponseAggregator.of(
        new HttpClient(group),
        new Address("127.0.0.1", listener.getLocalPort()),
        HttpMethod.GET,
        "/",
        new DefaultHttpHeaders(),
        new byte[REQUEST_BYTES],
        60_000);
  }

  private void assertFails(String head) throws IOException {
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      CompletableFuture<HttpReply> reply = call(listener);
      try (Socket connection = listener.accept()) {
        connection.getInputStream().readNBytes(REQUEST_BYTES);
        connection.getOutputStream().write((head + "\r\n\r\nab").getBytes(US_ASCII));

        ExecutionException error =
            assertThrows(ExecutionException.class, () -> reply.get(10, TimeUnit.SECONDS));
        assertThat(error).hasCauseThat().isInstanceOf(HttpException.class);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"000 OK", "099 OK", "20 OK", "0200 OK", "+200 OK", "2000 OK", "0100 C"})
  void statusThatIsNoneFailsTheCall(String status) throws IOException {
    assertFails("HTTP/1.1 " + status + "\r\nContent-Length: 2");
  }

  @ParameterizedTest
  @ValueSource(strings = {"X A: b", "XA b", "X-A : b", "X\u0001A: b", "X-A: b\rc"})
  void invalidFieldLineFailsTheCall(String line) throws IOException {
    assertFails("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line);
  }

  @Test
  void malformedInterimResponseFailsTheCall() throws IOException {
    String interim = "HTTP/1.1 103 Early Hints\r\nContent-Length: x\r\n\r\n";

    assertFails(interim + "HTTP/1.1 200 OK\r\nContent-Length: 2");
  }
}
