package io.mothrill.wire.caller;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.config.ConfigSnapshot;
import io.mothrill.core.fake.FakeInstanceList;
import io.mothrill.core.fake.FakeTable;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.path.PathOutcome;
import io.mothrill.core.node.Node;
import io.mothrill.core.node.NodePorts;
import io.mothrill.core.node.NodeSettings;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.resource.Resource;
import io.mothrill.core.resource.TeamKey;
import io.mothrill.core.resource.TeamSpec;
import io.mothrill.wire.json.JsonResources;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CallerServerTest {

  private static final int MAX_BODY_BYTES = 1_000;
  private static final String KEY = "branch.secret";

  private final ManualTimers timers = new ManualTimers();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Node node = node();
  private final CallerServer edge =
      new CallerServer(
          group,
          "127.0.0.1",
          0,
          node.requests(),
          node.config(),
          new CallerLimits(MAX_BODY_BYTES, 200, 1_000));

  private Node node() {
    InstanceRecord self = new InstanceRecord("konya-1", "konya-1.a", "konya", "::1", 1, false);
    NodePorts ports =
        new NodePorts(
            new FakeTable(timers),
            new FakeInstanceList(timers, 1_000),
            (peer, request, timeoutMs) -> new CompletableFuture<>(),
            new PeerDispatcher(),
            (call, listener) -> null,
            upstream -> CompletableFuture.completedFuture(PathOutcome.REACHED),
            (message, to) -> {},
            new JsonResources(),
            timers,
            new Random(1));
    Node newNode = new Node(self, ports, NodeSettings.standard(), new MetricRegistry());
    TeamSpec team = new TeamSpec(List.of(TeamKey.hash("salt", "secret")), 1);
    newNode.config().publish(ConfigSnapshot.of(1, List.of(new Resource("branch", 1, team))));
    return newNode;
  }

  @AfterEach
  void close() {
    edge.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** Sends a request on a new connection and reads until the server closes it. */
  private String exchange(String request) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), edge.port())) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static String chat(String key, String body) {
    return "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
        + "authorization: Bearer "
        + key
        + "\r\ncontent-length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  @Test
  void reportsInvalidFieldsOfBody() throws IOException {
    // WHEN
    String response = exchange(chat(KEY, "{\"model\": 5, \"max_tokens\": 0, \"messages\": [{}]}"));
    // THEN
    assertThat(response).startsWith("HTTP/1.1 400");
    assertThat(response).contains("model: must be a text");
    assertThat(response).contains("max_tokens: must be from 1");
    assertThat(response).contains("\"notRun\":true");
  }

  @Test
  void refusesMalformedJson() throws IOException {
    assertThat(exchange(chat(KEY, "{\"model\": "))).contains("is not JSON");
  }

  @Test
  void refusesWrongKeyWith401() throws IOException {
    // WHEN
    String body = "{\"model\": \"m\", \"messages\": [{\"role\": \"user\", \"content\": \"x\"}]}";
    String response = exchange(chat("branch.wrong", body));
    // THEN
    assertThat(response).startsWith("HTTP/1.1 401");
    assertThat(response).contains("invalid_api_key");
  }

  @Test
  void refusesBodyThatIsTooLarge() throws IOException {
    assertThat(exchange(chat(KEY, "x".repeat(MAX_BODY_BYTES + 1)))).startsWith("HTTP/1.1 413");
  }

  @Test
  void refusesHeaderThatIsTooLarge() throws IOException {
    // WHEN
    String response = exchange("GET /v1/models HTTP/1.1\r\nx: " + "y".repeat(20_000) + "\r\n\r\n");
    // THEN
    assertThat(response).startsWith("HTTP/1.1 400");
  }

  // Guards against connections that stay open forever: a caller sends half of its request and then
  // nothing.
  @Test
  void timesOutCallerThatStopsSending() throws IOException {
    // WHEN
    String response = exchange("POST /v1/chat/completions HTTP/1.1\r\ncontent-length: 50\r\n\r\n{");
    // THEN
    assertThat(response).startsWith("HTTP/1.1 408");
  }

  @Test
  void listsModelsOnlyForTeams() throws IOException {
    // WHEN
    String known =
        exchange(
            "GET /v1/models HTTP/1.1\r\nconnection: close\r\nauthorization: Bearer "
                + KEY
                + "\r\n\r\n");
    String unknown = exchange("GET /v1/models HTTP/1.1\r\nconnection: close\r\n\r\n");
    // THEN
    assertThat(known).startsWith("HTTP/1.1 200");
    assertThat(unknown).startsWith("HTTP/1.1 401");
  }
}
