package io.mothrill.wire.http;

import io.mothrill.wire.connection.ConnectionEndHandler;
import io.mothrill.wire.connection.ReceivingSocketChannel;
import io.mothrill.wire.response.ResponseDecoder;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * An HTTP client with pooled connections that streams responses.
 *
 * <p>A connection carries one call at a time and is returned to its pool only after a complete
 * response with no data following it. It is closed after a cancellation, a timeout, a failure or
 * surplus data. Responses carry no id here: a second response to an earlier call that arrives after
 * the next call was sent can only be recognized by what it says.
 */
public final class HttpClient {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_CHUNK_BYTES = 8_192;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final long MAX_IDLE_NANOS = 15_000_000_000L;

  private final Bootstrap bootstrap;
  private final Map<PoolKey, Deque<Channel>> idle = new ConcurrentHashMap<>();

  /**
   * Creates the client.
   *
   * @param group the event loops of its connections
   */
  public HttpClient(EventLoopGroup group) {
    this(group, List::of);
  }

  /**
   * Creates the client.
   *
   * @param group the event loops of its connections
   * @param leadingHandlers creates the handlers that precede all others in the pipeline of a
   *     connection
   */
  public HttpClient(EventLoopGroup group, Supplier<List<ChannelHandler>> leadingHandlers) {
    this.bootstrap =
        new Bootstrap()
            .group(group)
            .channel(ReceivingSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            // A server may respond as soon as it has accepted the connection.
            .option(ChannelOption.AUTO_READ, false)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    leadingHandlers.get().forEach(channel.pipeline()::addLast);
                    ResponseDecoder decoder =
                        new ResponseDecoder(decoderConfig(), bytes -> channel.close());
                    channel
                        .pipeline()
                        .addLast(new ConnectionEndHandler())
                        .addLast(decoder)
                        .addLast(new HttpRequestEncoder())
                        .addLast(ClientHandler.NAME, new ClientHandler(decoder));
                  }
                });
  }

  private static HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxChunkSize(MAX_CHUNK_BYTES);
  }

  private record PoolKey(Address to, String pool) {}

  /** A call in progress. */
  public static final class Handle {
    private final AtomicReference<Channel> channel = new AtomicReference<>();
    private final HttpSink sink;
    private volatile boolean cancelled;

    private Handle(HttpSink sink) {
      this.sink = sink;
    }

    /** Aborts the call and closes its connection. */
    public void cancel() {
      cancelled = true;
      Channel used = channel.get();
      if (used != null) {
        ClientHandler.find(used).ifPresent(handler -> handler.abort(sink));
      }
    }

    /**
     * Pauses or resumes reading the response.
     *
     * @param reading false to pause
     */
    public void setReading(boolean reading) {
      Channel used = channel.get();
      if (used != null) {
        used.config().setAutoRead(reading);
      }
    }

    private void use(Channel chosen) {
      channel.set(chosen);
    }
  }

  /**
   * Sends a call.
   *
   * @param call the call
   * @param sink receives the response
   * @return a handle for the call
   */
  public Handle send(HttpCall call, HttpSink sink) {
    Handle handle = new Handle(sink);
    Channel pooled = call.freshConnection() ? null : acquireIdle(call);
    if (pooled != null) {
      start(pooled, call, sink, handle, () -> connect(call, sink, handle));
    } else {
      connect(call, sink, handle);
    }
    return handle;
  }

  private Channel acquireIdle(HttpCall call) {
    Deque<Channel> channels = idle.get(new PoolKey(call.to(), call.pool()));
    if (channels == null) {
      return null;
    }
    synchronized (channels) {
      for (Channel channel = channels.pollLast(); channel != null; channel = channels.pollLast()) {
        if (channel.isActive() && isFresh(channel)) {
          return channel;
        }
        channel.close();
      }
    }
    return null;
  }

  private static boolean isFresh(Channel channel) {
    return ClientHandler.find(channel)
        .filter(handler -> handler.idleNanos() < MAX_IDLE_NANOS)
        .isPresent();
  }

  private void connect(HttpCall call, HttpSink sink, Handle handle) {
    bootstrap
        .connect(call.to().toSocketAddress())
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                start(
                    connected.channel(),
                    call,
                    sink,
                    handle,
                    () -> sink.onFailure(false, "connection to " + call.to() + " was closed"));
              } else if (!handle.cancelled) {
                sink.onFailure(false, "cannot connect to " + call.to());
              }
            });
  }

  private void start(
      Channel channel, HttpCall call, HttpSink sink, Handle handle, Runnable onClosed) {
    handle.use(channel);
    if (handle.cancelled) {
      channel.close();
      return;
    }
    channel
        .eventLoop()
        .execute(
            () -> {
              boolean used = ClientHandler.find(channel).filter(ClientHandler::isUsed).isPresent();
              if (!channel.isActive() || used && hasInput(channel)) {
                channel.close();
                onClosed.run();
                return;
              }
              ClientHandler.find(channel)
                  .ifPresent(
                      handler -> {
                        handler.startCall(call, sink, () -> returnToPool(call, channel));
                        channel.config().setAutoRead(true);
                        handler.write(requestOf(call));
                      });
            });
  }

  /** What has arrived after the last call is the response to none. */
  private static boolean hasInput(Channel channel) {
    return channel instanceof ReceivingSocketChannel socket && socket.hasInput();
  }

  private static DefaultFullHttpRequest requestOf(HttpCall call) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, call.method(), call.path(), Unpooled.wrappedBuffer(call.body()));
    request.headers().add(call.headers());
    request.headers().set(HttpHeaderNames.HOST, call.to().toString());
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
    return request;
  }

  private void returnToPool(HttpCall call, Channel channel) {
    channel.config().setAutoRead(true);
    Deque<Channel> channels =
        idle.computeIfAbsent(new PoolKey(call.to(), call.pool()), key -> new ArrayDeque<>());
    synchronized (channels) {
      channels.addLast(channel);
    }
  }

  /** Closes pooled connections that have been idle for too long; must be called periodically. */
  public void closeIdleConnections() {
    idle.values().forEach(HttpClient::closeIdleConnections);
  }

  private static void closeIdleConnections(Deque<Channel> channels) {
    synchronized (channels) {
      channels.removeIf(
          channel -> {
            boolean stale = !channel.isActive() || !isFresh(channel);
            if (stale) {
              channel.close();
            }
            return stale;
          });
    }
  }
}
