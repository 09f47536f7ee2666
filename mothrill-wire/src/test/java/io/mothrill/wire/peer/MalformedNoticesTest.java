package io.mothrill.wire.peer;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.forward.crash.CrashMessage;
import io.mothrill.core.forward.limit.RateLimitReport;
import io.mothrill.core.forward.upstream.UpstreamStatus;
import io.mothrill.core.forward.upstream.UpstreamStatusReport;
import io.mothrill.wire.peer.generated.CrashNotice;
import io.mothrill.wire.peer.generated.CrashReport;
import io.mothrill.wire.peer.generated.CrashedRequest;
import io.mothrill.wire.peer.generated.LimitNotice;
import io.mothrill.wire.peer.generated.Notice;
import io.mothrill.wire.peer.generated.PromptNotice;
import io.mothrill.wire.peer.generated.UpstreamNotice;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against datagrams to the notice port that were not sent by an instance. */
class MalformedNoticesTest {

  private static final InetSocketAddress HERE = new InetSocketAddress("127.0.0.1", 9);

  private final List<Long> heardTokens = new ArrayList<>();
  private final List<CrashMessage> heardCrashes = new ArrayList<>();
  private final List<UpstreamStatusReport> heardFates = new ArrayList<>();
  private final List<RateLimitReport> heardLimits = new ArrayList<>();
  private final EmbeddedChannel channel =
      new EmbeddedChannel(
          new DatagramNotices.NoticeHandler(
              new NoticeListeners(
                  (incarnation, tokens) -> heardTokens.add(tokens),
                  (message, sender) -> heardCrashes.add(message),
                  heardFates::add,
                  heardLimits::add,
                  host -> {})));

  private void receive(byte[] bytes) {
    channel.writeInbound(new DatagramPacket(Unpooled.wrappedBuffer(bytes), HERE, HERE));
  }

  private void receive(UpstreamNotice.Builder report) {
    receive(Notice.newBuilder().setUpstream(report).build().toByteArray());
  }

  private static byte[] notice(long tokens) {
    PromptNotice prompt =
        PromptNotice.newBuilder().setUpstreamId("i-1@0").setUnreadTokens(tokens).build();
    return Notice.newBuilder().setPrompt(prompt).build().toByteArray();
  }

  @Test
  void passesOnWhatAnotherInstanceSays() {
    receive(notice(4_000));

    assertThat(heardTokens).containsExactly(4_000L);
  }

  // Guards against an upstream getting no requests for hours: a foreign datagram claims a prompt
  // that is longer than any upstream can process.
  @Test
  void passesOverImpossiblePrompts() {
    receive(notice(Long.MAX_VALUE));
    receive(notice(-1));

    assertThat(heardTokens).isEmpty();
  }

  private static byte[] crashNotice(long ageMs) {
    CrashReport crash = CrashReport.newBuilder().setIncarnation("i-1@0").setAgeMs(ageMs).build();
    CrashedRequest request = CrashedRequest.newBuilder().addCrashes(crash).build();
    return Notice.newBuilder()
        .setCrashes(CrashNotice.newBuilder().addRequests(request))
        .build()
        .toByteArray();
  }

  @Test
  void passesOnCrashesThatAnotherInstanceSaw() {
    receive(crashNotice(200));

    assertThat(heardCrashes).hasSize(1);
  }

  // No instance reports a crash that lies in the future or days in the past.
  @Test
  void passesOverImpossibleCrashes() {
    receive(crashNotice(-1));
    receive(crashNotice(Long.MAX_VALUE));

    assertThat(heardCrashes).isEmpty();
  }

  @Property(tries = 400, seed = "30005")
  void bytesThatMeanNothingDoNoHarm(@ForAll byte[] bytes) {
    receive(bytes);
    channel.checkException();

    heardTokens.clear();
    receive(notice(4_000));
    assertThat(heardTokens).containsExactly(4_000L);
  }

  @Test
  void reportsThatNoInstanceWritesAreDropped() {
    UpstreamNotice sound =
        UpstreamNotice.newBuilder()
            .setIncarnation("i-1@0")
            .setHost("10.0.0.1")
            .setPort(80)
            .setFate(UpstreamNotice.Fate.FATE_ENDED)
            .build();
    receive(sound.toBuilder().setPort(0));
    receive(sound.toBuilder().setPort(70_000));
    receive(sound.toBuilder().setIncarnation("i".repeat(500)));
    receive(sound.toBuilder().setFateValue(9));
    receive(sound.toBuilder().clearFate());
    assertThat(heardFates).isEmpty();

    receive(sound.toBuilder());

    assertThat(heardFates)
        .containsExactly(new UpstreamStatusReport("i-1@0", "10.0.0.1", 80, UpstreamStatus.ENDED));
  }

  // A limit that is not a valid rate would block or admit all requests to an upstream.
  @ParameterizedTest
  @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
  void passesOverLimitThatIsNoRate(double limitPerS) {
    LimitNotice.Builder limit =
        LimitNotice.newBuilder().setIncarnation("i-1@0").setLimitPerS(limitPerS);

    receive(Notice.newBuilder().setLimit(limit).build().toByteArray());

    assertThat(heardLimits).isEmpty();
  }
}
