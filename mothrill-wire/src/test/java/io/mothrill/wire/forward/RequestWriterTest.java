package io.mothrill.wire.forward;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.buffer.BufferBudget;
import io.mothrill.core.forward.buffer.ConnectionBuffer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;

/** Guards against whole bodies that are held in direct memory for upstreams that read slowly. */
class RequestWriterTest {

  private static final int BODY_BYTES = 1_000_000;
  private static final int SLICE_BYTES = 64 << 10;

  private final ManualTimers timers = new ManualTimers();

  /** An eighth of the memory, the limit of one connection, is one slice. */
  private final BufferBudget budget = new BufferBudget(1 << 20, 8 * SLICE_BYTES, timers);

  private final ConnectionBuffer unsent = budget.newBuffer();
  private final SlowUpstream upstream = new SlowUpstream();
  private final EmbeddedChannel channel =
      new EmbeddedChannel(upstream, new ChannelInboundHandlerAdapter());
  private final ByteBuf body = Unpooled.wrappedBuffer(new byte[BODY_BYTES]);
  private int progressCount;
  private int abortCount;

  /** Holds what is written until it is read. */
  private static final class SlowUpstream extends ChannelOutboundHandlerAdapter {
    private final Deque<ChannelPromise> unread = new ArrayDeque<>();
    private long receivedBytes;

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      if (message instanceof HttpContent content) {
        receivedBytes += content.content().readableBytes();
        content.release();
        unread.add(promise);
      } else {
        promise.setSuccess();
      }
    }
  }

  private RequestWriter write() {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/", body);
    RequestWriter writer =
        new RequestWriter(
            channel.pipeline().context(ChannelInboundHandlerAdapter.class),
            request,
            unsent,
            budget.newPause(unsent, Runnable::run, () -> abortCount++),
            () -> progressCount++);
    writer.start();
    return writer;
  }

  // GIVEN an upstream that reads nothing WHEN a long body is written THEN one slice is held.
  @Test
  void holdsOneSliceForAnUpstreamThatReadsNothing() {
    write();

    assertThat(budget.heldBytes()).isEqualTo(SLICE_BYTES);
    timers.advanceMs(BufferBudget.MAX_PAUSE_MS + 100);
    assertThat(abortCount).isEqualTo(1);
  }

  // GIVEN an upstream that reads a slice every 4 s WHEN a long body is written THEN it gets all.
  @Test
  void writesTheWholeBodyToAnUpstreamThatReadsSlowly() {
    RequestWriter writer = write();

    while (!upstream.unread.isEmpty()) {
      timers.advanceMs(BufferBudget.MAX_PAUSE_MS - 1_000);
      upstream.unread.poll().setSuccess();
    }

    assertThat(upstream.receivedBytes).isEqualTo(BODY_BYTES);
    assertThat(writer.written().isSuccess()).isTrue();
    assertThat(abortCount).isEqualTo(0);
    assertThat(progressCount).isEqualTo(BODY_BYTES / SLICE_BYTES);
    assertThat(budget.heldBytes()).isEqualTo(0);
    assertThat(body.refCnt()).isEqualTo(0);
  }

  // GIVEN a request in progress WHEN its connection is closed THEN nothing of it remains.
  @Test
  void releasesTheBodyWhenTheConnectionIsClosed() {
    RequestWriter writer = write();

    writer.cancel();
    upstream.unread.poll().setFailure(new IllegalStateException("closed"));

    assertThat(writer.written().isSuccess()).isFalse();
    assertThat(budget.heldBytes()).isEqualTo(0);
    assertThat(budget.pausedCount()).isEqualTo(0);
    assertThat(body.refCnt()).isEqualTo(0);
  }
}
