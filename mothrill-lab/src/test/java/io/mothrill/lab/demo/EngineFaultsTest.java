package io.mothrill.lab.demo;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.lab.load.Call;
import io.mothrill.lab.load.CallResult;
import io.mothrill.lab.load.CheckingCaller;
import io.mothrill.lab.standin.EngineServer;
import io.mothrill.lab.standin.EngineSettings;
import io.mothrill.lab.standin.EngineText;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.http.ResponseAggregator;
import io.mothrill.wire.json.Json;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Calls over HTTP through an entry instance to two engines with injected faults. */
class EngineFaultsTest {

  private static final EngineSettings ENGINE = new EngineSettings(16, 1, 512, 16, 50);
  private static final JsonNode REQUESTS = Json.object().put("stallMs", 300);

  private final DemoCluster cluster = new DemoCluster(1, 2, ENGINE, Map.of("requests", REQUESTS));

  @BeforeEach
  void declare() {
    cluster.declareTeam("branch");
    cluster.declareBudget("b", "branch", 1_000_000);
    cluster.declareModel("asistan", ENGINE);
    cluster.awaitConfig();
  }

  @AfterEach
  void close() {
    cluster.close();
  }

  private CallResult call(String prompt, boolean streamed) {
    Call call =
        new Call(
            "branch",
            DemoCluster.apiKeyOf("branch"),
            "asistan",
            prompt,
            20,
            streamed,
            "urgent",
            "");
    return new CheckingCaller(cluster.http())
        .send(cluster.callerAddress(0), call, System.nanoTime())
        .join();
  }

  private long runs() {
    return cluster.engines().values().stream().mapToLong(engine -> engine.runs().size()).sum();
  }

  // Guards against delivering the answer of another request: an engine answers with a foreign
  // request id. The answer is dropped, the connection closed and the call retried, here after both
  // engines have failed.
  @Test
  void answerWithForeignRequestIdIsDroppedAndTheCallRetried() {
    // GIVEN
    cluster.engines().get("engine-1").faults().misattributeNextAnswers(1);
    cluster.engines().get("engine-2").faults().misattributeNextAnswers(1);
    // WHEN
    CallResult first = call("crossed", true);
    // THEN
    assertThat(first.isServed()).isTrue();
    assertThat(runs()).isGreaterThan(0);
  }

  // Guards against losing a call or an engine to one stalled connection: each engine leaves one
  // call without a response. The watchdog closes that connection, the call is retried, and the
  // engines serve later calls.
  @Test
  void stalledConnectionIsClosedByTheWatchdogAndTheCallRetried() {
    // GIVEN
    cluster.engines().values().forEach(engine -> engine.faults().stallNextCalls(1));
    // WHEN
    CallResult first = call("silent", true);
    CallResult second = call("after", false);
    // THEN
    assertThat(first.isServed()).isTrue();
    assertThat(second.isServed()).isTrue();
  }

  @Test
  void leavingEngineReceivesNoNewCalls() {
    // GIVEN
    EngineServer leaving = cluster.engines().get("engine-1");
    leaving.faults().setLeaving(true);
    // WHEN
    for (int number = 0; number < 10; number++) {
      assertThat(call("call " + number, number % 2 == 0).isServed()).isTrue();
    }
    // THEN
    assertThat(leaving.runs()).isEmpty();
  }

  // Guards against billing more than was reserved: an engine ignores the output limit. The stream
  // is truncated at the limit and terminated properly.
  @Test
  void answerBeyondTheOutputLimitIsTruncated() {
    // GIVEN
    cluster.engines().values().forEach(engine -> engine.faults().exceedOutputLimit(500));
    // WHEN
    CallResult truncated = call("too long", true);
    // THEN
    assertThat(truncated.isServed()).isTrue();
    assertThat(truncated.billableTokens()).isAtMost(20 + 3);
  }

  @Test
  void engineResumesStreamAtAnyToken() {
    // GIVEN
    assertThat(call("resumed", true).isServed()).isTrue();
    EngineServer engine =
        cluster.engines().values().stream().filter(one -> !one.runs().isEmpty()).findFirst().get();
    String requestId = engine.runs().keySet().iterator().next();
    // WHEN
    HttpReply rest =
        ResponseAggregator.of(
                cluster.http(),
                new Address("127.0.0.1", engine.port()),
                HttpMethod.GET,
                "/v1/streams/" + requestId + "?from=18",
                new DefaultHttpHeaders(),
                new byte[0],
                5_000)
            .join();
    // THEN
    String text = new String(rest.body(), StandardCharsets.UTF_8);
    assertThat(text).contains(EngineText.token("resumed", 18).trim());
    assertThat(text).contains(EngineText.token("resumed", 19).trim());
    assertThat(text).doesNotContain("\"content\":\"" + EngineText.token("resumed", 17));
    assertThat(engine.runs()).containsExactly(requestId, 1);
  }

  @Test
  void killedEngineDoesNotFailIdempotentCalls() {
    // GIVEN
    assertThat(call("before", true).isServed()).isTrue();
    cluster.engines().get("engine-2").close();
    // WHEN
    for (int number = 0; number < 10; number++) {
      assertThat(call("after " + number, true).isServed()).isTrue();
    }
  }
}
