package io.mothrill.wire.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.mothrill.core.forward.contention.ContentionReport;
import io.mothrill.core.forward.contention.ContentionReportSender;
import io.mothrill.core.forward.crash.CrashMessage;
import io.mothrill.core.forward.crash.CrashMessageSender;
import io.mothrill.core.forward.lease.LeaseMessage;
import io.mothrill.core.forward.lease.LeaseMessageSender;
import io.mothrill.core.forward.limit.RateLimitReport;
import io.mothrill.core.forward.limit.RateLimitReportSender;
import io.mothrill.core.forward.limit.RejectionReport;
import io.mothrill.core.forward.limit.RejectionReportSender;
import io.mothrill.core.forward.stream.StreamNotice;
import io.mothrill.core.forward.stream.StreamNoticeSender;
import io.mothrill.core.forward.upstream.PromptNoticeSender;
import io.mothrill.core.forward.upstream.UpstreamStatusReport;
import io.mothrill.core.forward.upstream.UpstreamStatusReportSender;
import io.mothrill.core.forward.view.exchange.ViewNotice;
import io.mothrill.core.forward.view.exchange.ViewNoticeSender;
import io.mothrill.core.peer.NoticeRecipients;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.work.WorkKind;
import io.mothrill.core.work.WorkStats;
import io.mothrill.wire.peer.generated.Notice;
import io.mothrill.wire.peer.generated.PromptNotice;
import io.mothrill.wire.work.WorkMeter;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Sends and receives notices between instances, one per UDP datagram, without retransmission or
 * acknowledgement.
 */
public final class DatagramNotices
    implements PromptNoticeSender,
        CrashMessageSender,
        UpstreamStatusReportSender,
        RateLimitReportSender,
        RejectionReportSender,
        ContentionReportSender,
        ViewNoticeSender,
        StreamNoticeSender,
        LeaseMessageSender {

  /**
   * Upstreams process shorter prompts before a notice could influence the choice of an upstream.
   */
  private static final long MIN_TOKENS = 1_500;

  /**
   * The minimum prompt tokens per recipient of a notice.
   *
   * <p>If every instance sent a notice of every prompt to all others, the number of datagrams would
   * grow with the square of the fleet size and keep small instances busy. A prompt that occupies an
   * upstream for longer justifies more datagrams: with 70 instances, notices are sent for prompts
   * of at least 7,000 tokens, which take about 50 to 90 ms of an upstream's time.
   */
  private static final long TOKENS_PER_RECIPIENT = 100;

  /** More tokens than the memory of any upstream can hold. */
  private static final long MAX_TOKENS = 10_000_000;

  private final Supplier<List<InstanceRecord>> peers;
  private final String host;
  private final Channel channel;

  /**
   * Starts listening.
   *
   * @param group the event loops
   * @param host an IP address
   * @param port a UDP port; 0 for any
   * @param peers supplies the other instances, which receive the notices
   * @param listeners receive the notices of other instances
   * @param work records the work spent on notices
   */
  public DatagramNotices(
      EventLoopGroup group,
      String host,
      int port,
      Supplier<List<InstanceRecord>> peers,
      NoticeListeners listeners,
      WorkStats work) {
    this.peers = peers;
    this.host = host;
    this.channel =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel opened) {
                    opened
                        .pipeline()
                        .addLast(new WorkMeter(work, WorkKind.NOTICE))
                        .addLast(new NoticeHandler(listeners));
                  }
                })
            .bind(host, port)
            .syncUninterruptibly()
            .channel();
  }

  @Override
  public void send(String incarnation, long unreadTokens) {
    List<InstanceRecord> recipients = recipients(peers.get(), host);
    if (unreadTokens < Math.max(MIN_TOKENS, TOKENS_PER_RECIPIENT * recipients.size())) {
      return;
    }
    PromptNotice prompt =
        PromptNotice.newBuilder().setUpstreamId(incarnation).setUnreadTokens(unreadTokens).build();
    send(Notice.newBuilder().setPrompt(prompt).build(), recipients);
  }

  @Override
  public void send(CrashMessage message, List<InstanceRecord> to) {
    send(Notice.newBuilder().setCrashes(CrashNoticeCodec.write(message)).build(), to);
  }

  @Override
  public void send(UpstreamStatusReport report, List<InstanceRecord> to) {
    send(Notice.newBuilder().setUpstream(UpstreamNoticeCodec.write(report)).build(), to);
  }

  @Override
  public void send(RateLimitReport report, List<InstanceRecord> to) {
    send(Notice.newBuilder().setLimit(LimitNoticeCodec.write(report)).build(), to);
  }

  @Override
  public void send(RejectionReport report, List<InstanceRecord> to) {
    send(Notice.newBuilder().setRejection(RejectionNoticeCodec.write(report)).build(), to);
  }

  @Override
  public void send(ContentionReport report, List<InstanceRecord> to) {
    send(Notice.newBuilder().setLoad(LoadNoticeCodec.write(report)).build(), to);
  }

  @Override
  public void send(ViewNotice notice, List<InstanceRecord> to) {
    send(Notice.newBuilder().setView(ViewNoticeCodec.write(notice)).build(), to);
  }

  @Override
  public void send(StreamNotice notice, List<InstanceRecord> to) {
    send(Notice.newBuilder().setStream(StreamNoticeCodec.write(notice)).build(), to);
  }

  @Override
  public void send(LeaseMessage message, InstanceRecord to) {
    send(Notice.newBuilder().setLease(LeaseNoticeCodec.write(message)).build(), List.of(to));
  }

  private void send(Notice notice, List<InstanceRecord> peers) {
    byte[] bytes = notice.toByteArray();
    peers.stream()
        .map(peer -> new InetSocketAddress(peer.host(), peer.peerPort()))
        .forEach(to -> channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to)));
    channel.flush();
  }

  static List<InstanceRecord> recipients(List<InstanceRecord> peers, String host) {
    return NoticeRecipients.select(peers, host);
  }

  /** Stops listening. */
  public void close() {
    channel.close();
  }

  /** Parses received notices and ignores invalid datagrams. */
  static final class NoticeHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    private final NoticeListeners listeners;

    NoticeHandler(NoticeListeners listeners) {
      this.listeners = listeners;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      try {
        Notice notice = Notice.parseFrom(ByteBufUtil.getBytes(packet.content()));
        listeners.hosts().accept(packet.sender().getAddress().getHostAddress());
        if (notice.hasPrompt()) {
          handlePrompt(notice.getPrompt());
        } else if (notice.hasCrashes()) {
          CrashNoticeCodec.read(notice.getCrashes())
              .ifPresent(message -> listeners.crashes().accept(message, senderOf(packet)));
        } else if (notice.hasUpstream()) {
          UpstreamNoticeCodec.read(notice.getUpstream()).ifPresent(listeners.statusReports());
        } else if (notice.hasLimit()) {
          LimitNoticeCodec.read(notice.getLimit()).ifPresent(listeners.limits());
        } else if (notice.hasRejection()) {
          RejectionNoticeCodec.read(notice.getRejection()).ifPresent(listeners.rejections());
        } else if (notice.hasLoad()) {
          LoadNoticeCodec.read(notice.getLoad()).ifPresent(listeners.contention());
        } else if (notice.hasView()) {
          listeners.views().accept(ViewNoticeCodec.read(notice.getView()), senderOf(packet));
        } else if (notice.hasLease()) {
          LeaseNoticeCodec.read(notice.getLease())
              .ifPresent(message -> listeners.leases().accept(message, senderOf(packet)));
        } else if (notice.hasStream()) {
          StreamNoticeCodec.read(notice.getStream())
              .ifPresent(message -> listeners.streams().accept(message, senderOf(packet)));
        }
      } catch (InvalidProtocolBufferException ex) {
        Logger.debug("malformed notice ignored: {}", ex.getMessage());
      }
    }

    private void handlePrompt(PromptNotice prompt) {
      if (prompt.getUnreadTokens() >= 0 && prompt.getUnreadTokens() <= MAX_TOKENS) {
        listeners.prompts().send(prompt.getUpstreamId(), prompt.getUnreadTokens());
      }
    }

    private static InstanceRecord senderOf(DatagramPacket packet) {
      return InstanceRecord.ofAddress(
          packet.sender().getAddress().getHostAddress(), packet.sender().getPort());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // Raised for example for an unreachable peer; the socket stays usable.
      Logger.debug("notice socket error: {}", cause.getMessage());
    }
  }
}
