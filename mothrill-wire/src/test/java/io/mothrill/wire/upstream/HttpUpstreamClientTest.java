package io.mothrill.wire.upstream;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.US_ASCII;

import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.UpstreamSpec;
import io.mothrill.core.routing.LoadReport;
import io.mothrill.core.upstream.UpstreamCall;
import io.mothrill.core.upstream.UpstreamFailure;
import io.mothrill.core.upstream.UpstreamListener;
import io.mothrill.core.upstream.Usage;
import io.mothrill.wire.http.HttpClient;
import io.mothrill.wire.time.NettyTimers;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpUpstreamClientTest {

  private static final long TIMEOUT_MS = 5_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpUpstreamClient client =
      new HttpUpstreamClient(new HttpClient(group), new NettyTimers(group));
  private ServerSocket listener;

  @BeforeEach
  void start() throws IOException {
    listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::acceptAll, "upstream");
    thread.setDaemon(true);
    thread.start();
  }

  @AfterEach
  void stop() throws IOException {
    listener.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket connection = listener.accept();
        Thread thread = new Thread(() -> serve(connection), "upstream connection");
        thread.setDaemon(true);
        thread.start();
      }
    } catch (IOException ex) {
      // The listener was closed, which ends this thread.
    }
  }

  /** Responds without an id, first with a second response to the previous call if there is one. */
  private static void serve(Socket connection) {
    try (connection) {
      String previous = "";
      while (true) {
        String path = readPath(connection.getInputStream());
        connection.getOutputStream().write(previous.getBytes(US_ASCII));
        previous = responseTo(path);
        connection.getOutputStream().write(previous.getBytes(US_ASCII));
      }
    } catch (IOException ex) {
      // The client has closed the connection.
    }
  }

  private static String readPath(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(ISO_8859_1).endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("closed");
      }
      head.write(next);
    }
    return head.toString(ISO_8859_1).split(" ", 3)[1];
  }

  private static String responseTo(String path) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path;
  }

  private CompletableFuture<String> call(String path) {
    UpstreamCall call =
        new UpstreamCall(
            path,
            new UpstreamSpec("svc", "127.0.0.1", listener.getLocalPort(), "domain", 1, false),
            Priority.URGENT,
            "GET",
            path,
            "",
            maxOutputTokens -> new byte[0],
            1,
            false,
            false,
            TIMEOUT_MS);
    BodyListener body = new BodyListener();
    var unused = client.send(call, body);
    return body.result;
  }

  // An upstream that doesn't echo ids answers a call twice. The second response must not be taken
  // for the response to the next call.
  @ParameterizedTest
  @ValueSource(ints = {1, 5})
  void responseWithoutIdIsNotTakenForTheResponseToTheNextCall(int callCount) throws Exception {
    for (int number = 0; number <= callCount; number++) {
      String path = "/" + number;
      assertThat(call(path).get(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isEqualTo(path);
    }
  }

  private static final class BodyListener implements UpstreamListener {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final CompletableFuture<String> result = new CompletableFuture<>();

    @Override
    public void onHead(int status, String contentType) {}

    @Override
    public void onChunk(byte[] bytes, Usage usage) {
      body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
      result.complete(body.toString(US_ASCII));
    }

    @Override
    public void onFailure(UpstreamFailure failure) {
      result.completeExceptionally(new IOException(failure.detail()));
    }

    @Override
    public void onLoad(LoadReport report) {}

    @Override
    public void onLeaving() {}
  }
}
