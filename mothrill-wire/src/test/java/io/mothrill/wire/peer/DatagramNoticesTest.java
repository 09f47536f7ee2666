package io.mothrill.wire.peer;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.forward.limit.RateLimitReport;
import io.mothrill.core.forward.upstream.UpstreamStatus;
import io.mothrill.core.forward.upstream.UpstreamStatusReport;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.work.WorkStats;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class DatagramNoticesTest {

  private static final String HOST = "127.0.0.1";
  private static final long WAIT_S = 5;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<Long> heard = new LinkedBlockingQueue<>();
  private final BlockingQueue<UpstreamStatusReport> heardFates = new LinkedBlockingQueue<>();
  private final BlockingQueue<RateLimitReport> heardLimits = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private DatagramNotices listener(int port) {
    return new DatagramNotices(
        group,
        HOST,
        port,
        List::of,
        new NoticeListeners(
            (upstreamId, tokens) -> heard.add(tokens),
            (message, sender) -> {},
            heardFates::add,
            heardLimits::add,
            host -> {}),
        new WorkStats());
  }

  private DatagramNotices speaker(int port, int peerCount) {
    InstanceRecord peer = new InstanceRecord("konya-1", "konya-1", "konya", HOST, port, false);
    return new DatagramNotices(
        group,
        HOST,
        0,
        () -> Collections.nCopies(peerCount, peer),
        NoticeListeners.ofCrashes((message, sender) -> {}),
        new WorkStats());
  }

  private static int freePort() throws Exception {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(HOST))) {
      return socket.getLocalPort();
    }
  }

  /** Announces prompts to a number of peers, and returns the first notice that a peer receives. */
  private Long firstHeard(int peerCount, long... announcedTokens) throws Exception {
    int port = freePort();
    final DatagramNotices listening = listener(port);
    DatagramNotices speaking = speaker(port, peerCount);
    for (long tokens : announcedTokens) {
      speaking.send("i-1", tokens);
    }
    Long first = heard.poll(WAIT_S, TimeUnit.SECONDS);
    speaking.close();
    listening.close();
    return first;
  }

  @Test
  void tellsFewPeersOfMiddlingPrompt() throws Exception {
    assertThat(firstHeard(5, 2_000)).isEqualTo(2_000);
  }

  // Guards against a flood of datagrams: 70 instances serve hundreds of medium prompts per second,
  // and notices of all of them would send thousands of datagrams to every instance.
  @Test
  void tellsManyPeersOnlyOfLongPrompts() throws Exception {
    assertThat(firstHeard(70, 2_000, 7_000)).isEqualTo(7_000);
  }

  // Guards against instances that never receive notices and know only their own prompts: the fleet
  // has more instances than a notice has recipients.
  @Test
  void passesNoInstanceOverInLargeFleet() {
    List<InstanceRecord> fleet =
        IntStream.range(0, 300)
            .mapToObj(number -> instance("10.1." + number / 250 + "." + number % 250))
            .toList();

    Map<InstanceRecord, Long> heardFrom =
        fleet.stream()
            .flatMap(speaker -> DatagramNotices.recipients(fleet, speaker.host()).stream())
            .collect(Collectors.groupingBy(heard -> heard, Collectors.counting()));

    assertThat(heardFrom.keySet()).containsExactlyElementsIn(fleet);
  }

  private static InstanceRecord instance(String host) {
    return new InstanceRecord(host, host, "konya", host, 7340, false);
  }

  @Test
  void carriesWhatWasFoundOutAboutAnUpstream() throws Exception {
    int port = freePort();
    UpstreamStatusReport report =
        new UpstreamStatusReport("i-1@0", "10.0.0.1", 80, UpstreamStatus.REPLACED);
    InstanceRecord peer = new InstanceRecord("konya-1", "konya-1", "konya", HOST, port, false);
    DatagramNotices listener = listener(port);
    DatagramNotices speaker = speaker(port, 1);

    speaker.send(report, List.of(peer));
    UpstreamStatusReport heard = heardFates.poll(WAIT_S, TimeUnit.SECONDS);
    listener.close();
    speaker.close();

    assertThat(heard).isEqualTo(report);
  }

  @Test
  void carriesLimitsAndTheirEnds() throws Exception {
    int port = freePort();
    RateLimitReport begun = new RateLimitReport("i-1@0", OptionalDouble.of(0));
    RateLimitReport ended = new RateLimitReport("i-1@0", OptionalDouble.empty());
    InstanceRecord peer = new InstanceRecord("konya-1", "konya-1", "konya", HOST, port, false);
    DatagramNotices listener = listener(port);
    DatagramNotices speaker = speaker(port, 1);

    speaker.send(begun, List.of(peer));
    final RateLimitReport first = heardLimits.poll(WAIT_S, TimeUnit.SECONDS);
    speaker.send(ended, List.of(peer));
    final RateLimitReport second = heardLimits.poll(WAIT_S, TimeUnit.SECONDS);
    listener.close();
    speaker.close();

    assertThat(first).isEqualTo(begun);
    assertThat(second).isEqualTo(ended);
  }
}
