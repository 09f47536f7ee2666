package io.mothrill.wire.peer;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.forward.contention.ContentionReport;
import io.mothrill.core.forward.lease.LeaseMessage;
import io.mothrill.core.forward.limit.RateLimitReport;
import io.mothrill.core.forward.limit.RejectionReport;
import io.mothrill.core.forward.stream.StreamNotice;
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
import java.util.OptionalInt;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class DatagramNoticesTest {

  private static final String HOST = "127.0.0.1";
  private static final long WAIT_S = 5;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<Long> receivedTokens = new LinkedBlockingQueue<>();
  private final BlockingQueue<UpstreamStatusReport> receivedStatusReports =
      new LinkedBlockingQueue<>();
  private final BlockingQueue<RateLimitReport> receivedLimits = new LinkedBlockingQueue<>();
  private final BlockingQueue<RejectionReport> receivedRejections = new LinkedBlockingQueue<>();
  private final BlockingQueue<LeaseMessage> receivedLeases = new LinkedBlockingQueue<>();
  private final BlockingQueue<ContentionReport> receivedContention = new LinkedBlockingQueue<>();
  private final BlockingQueue<InstanceRecord> streamSenders = new LinkedBlockingQueue<>();

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
            (upstreamId, tokens) -> receivedTokens.add(tokens),
            (message, sender) -> {},
            receivedStatusReports::add,
            receivedLimits::add,
            receivedRejections::add,
            receivedContention::add,
            (notice, sender) -> {},
            (notice, sender) -> streamSenders.add(sender),
            (message, sender) -> receivedLeases.add(message),
            host -> {}),
        new WorkStats());
  }

  private DatagramNotices sender(int port, int peerCount) {
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
  private Long firstReceived(int peerCount, long... announcedTokens) throws Exception {
    int port = freePort();
    final DatagramNotices listener = listener(port);
    DatagramNotices sender = sender(port, peerCount);
    for (long tokens : announcedTokens) {
      sender.send("i-1", tokens);
    }
    Long first = receivedTokens.poll(WAIT_S, TimeUnit.SECONDS);
    sender.close();
    listener.close();
    return first;
  }

  @Test
  void sendsMediumPromptsToFewPeers() throws Exception {
    assertThat(firstReceived(5, 2_000)).isEqualTo(2_000);
  }

  // Guards against a flood of datagrams: 70 instances serve hundreds of medium prompts per second,
  // and notices of all of them would send thousands of datagrams to every instance.
  @Test
  void sendsOnlyLongPromptsToManyPeers() throws Exception {
    assertThat(firstReceived(70, 2_000, 7_000)).isEqualTo(7_000);
  }

  // Guards against instances that never receive notices and know only their own prompts: the fleet
  // has more instances than a notice has recipients.
  @Test
  void reachesEveryInstanceOfLargeFleet() {
    List<InstanceRecord> fleet =
        IntStream.range(0, 300)
            .mapToObj(number -> instance("10.1." + number / 250 + "." + number % 250))
            .toList();

    Map<InstanceRecord, Long> senderCounts =
        fleet.stream()
            .flatMap(sender -> DatagramNotices.recipients(fleet, sender.host()).stream())
            .collect(Collectors.groupingBy(received -> received, Collectors.counting()));

    assertThat(senderCounts.keySet()).containsExactlyElementsIn(fleet);
  }

  private static InstanceRecord instance(String host) {
    return new InstanceRecord(host, host, "konya", host, 7340, false);
  }

  @Test
  void transfersStatusReports() throws Exception {
    int port = freePort();
    UpstreamStatusReport report =
        new UpstreamStatusReport("i-1@0", "10.0.0.1", 80, UpstreamStatus.REPLACED);
    InstanceRecord peer = new InstanceRecord("konya-1", "konya-1", "konya", HOST, port, false);
    DatagramNotices listener = listener(port);
    DatagramNotices sender = sender(port, 1);

    sender.send(report, List.of(peer));
    UpstreamStatusReport received = receivedStatusReports.poll(WAIT_S, TimeUnit.SECONDS);
    listener.close();
    sender.close();

    assertThat(received).isEqualTo(report);
  }

  // Guards against test fleets whose instances know more of a sender than a datagram tells.
  @Test
  void senderIsKnownByItsAddressOnly() throws Exception {
    int port = freePort();
    InstanceRecord peer = new InstanceRecord("konya-1", "konya-1", "konya", HOST, port, false);
    DatagramNotices listener = listener(port);
    DatagramNotices sender = sender(port, 1);

    sender.send(new StreamNotice.Query("a", "asistan", 1_000), List.of(peer));
    InstanceRecord received = streamSenders.poll(WAIT_S, TimeUnit.SECONDS);
    listener.close();
    sender.close();

    assertThat(received).isEqualTo(InstanceRecord.ofAddress(HOST, received.peerPort()));
  }

  @Test
  void transfersLimitsAndTheirRemoval() throws Exception {
    int port = freePort();
    RateLimitReport announced = new RateLimitReport("i-1@0", OptionalDouble.of(0));
    RateLimitReport removed = new RateLimitReport("i-1@0", OptionalDouble.empty());
    InstanceRecord peer = new InstanceRecord("konya-1", "konya-1", "konya", HOST, port, false);
    DatagramNotices listener = listener(port);
    DatagramNotices sender = sender(port, 1);

    sender.send(announced, List.of(peer));
    final RateLimitReport first = receivedLimits.poll(WAIT_S, TimeUnit.SECONDS);
    sender.send(removed, List.of(peer));
    final RateLimitReport second = receivedLimits.poll(WAIT_S, TimeUnit.SECONDS);
    listener.close();
    sender.close();

    assertThat(first).isEqualTo(announced);
    assertThat(second).isEqualTo(removed);
  }

  @Test
  void transfersBoundsOfRejections() throws Exception {
    int port = freePort();
    RejectionReport report = new RejectionReport("i-1@0", 4);
    InstanceRecord peer = new InstanceRecord("konya-1", "konya-1", "konya", HOST, port, false);
    DatagramNotices listener = listener(port);
    DatagramNotices sender = sender(port, 1);

    sender.send(report, List.of(peer));
    final RejectionReport received = receivedRejections.poll(WAIT_S, TimeUnit.SECONDS);
    listener.close();
    sender.close();

    assertThat(received).isEqualTo(report);
  }

  @ParameterizedTest
  @MethodSource("leaseMessages")
  void transfersLeaseMessages(LeaseMessage message) throws Exception {
    int port = freePort();
    InstanceRecord peer = new InstanceRecord("konya-1", "konya-1", "konya", HOST, port, false);
    DatagramNotices listener = listener(port);
    DatagramNotices sender = sender(port, 1);

    sender.send(message, peer);
    final LeaseMessage received = receivedLeases.poll(WAIT_S, TimeUnit.SECONDS);
    listener.close();
    sender.close();

    assertThat(received).isEqualTo(message);
  }

  private static Stream<LeaseMessage> leaseMessages() {
    return Stream.of(
            Stream.of(
                new LeaseMessage.Request(-7, "i-1@0", 4, 1_500, false),
                new LeaseMessage.Request(8, "i-1@0", 0, 0, true)),
            Stream.of(LeaseMessage.Verdict.values())
                .map(verdict -> new LeaseMessage.Reply(9, "i-1@0", verdict)),
            Stream.of(LeaseMessage.State.values())
                .flatMap(
                    state ->
                        Stream.of(OptionalInt.empty(), OptionalInt.of(0), OptionalInt.of(6))
                            .map(count -> new LeaseMessage.Update(9, "i-1@0", state, count))))
        .flatMap(messages -> messages);
  }

  // An upstream that announces no numbers of requests must not appear idle to the others.
  @Test
  void transfersContentionWithAndWithoutAnnouncedValues() throws Exception {
    int port = freePort();
    ContentionReport full =
        new ContentionReport(
            "i-1@0", 820, OptionalDouble.of(2.5), OptionalInt.of(24), OptionalInt.of(0));
    ContentionReport waitOnly =
        new ContentionReport(
            "i-1@0", 820, OptionalDouble.empty(), OptionalInt.empty(), OptionalInt.empty());
    InstanceRecord peer = new InstanceRecord("konya-1", "konya-1", "konya", HOST, port, false);
    DatagramNotices listener = listener(port);
    DatagramNotices sender = sender(port, 1);

    sender.send(full, List.of(peer));
    final ContentionReport first = receivedContention.poll(WAIT_S, TimeUnit.SECONDS);
    sender.send(waitOnly, List.of(peer));
    final ContentionReport second = receivedContention.poll(WAIT_S, TimeUnit.SECONDS);
    listener.close();
    sender.close();

    assertThat(first).isEqualTo(full);
    assertThat(second).isEqualTo(waitOnly);
  }
}
