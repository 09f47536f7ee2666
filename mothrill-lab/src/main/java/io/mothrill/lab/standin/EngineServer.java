package io.mothrill.lab.standin;

import io.mothrill.core.time.Timers;
import io.mothrill.wire.http.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.List;
import java.util.Map;

/**
 * A stand-in for a model engine, with a chat completions API.
 *
 * <p>It uses continuous batching with a limited number of slots, honours priorities, caches prompt
 * prefixes, streams one token per step, cancels a sequence when its caller disconnects and reports
 * its load with a lag. {@link EngineFaults} makes it announce that it is leaving, stop responding,
 * answer with the id of another request or exceed the output limit.
 */
public final class EngineServer {

  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  private final EngineBatch batch;
  private final EngineFaults faults = new EngineFaults();
  private final HttpServer server;

  /**
   * Starts an engine.
   *
   * @param group the event loops
   * @param timers the clock and timers
   * @param host the IP address to listen on
   * @param port the TCP port; 0 for any free port
   * @param settings the settings of the engine
   */
  public EngineServer(
      EventLoopGroup group, Timers timers, String host, int port, EngineSettings settings) {
    this.batch = new EngineBatch(settings, timers);
    this.server =
        new HttpServer(
            group,
            host,
            port,
            () ->
                List.of(
                    new HttpObjectAggregator(MAX_BODY_BYTES), new EngineHandler(batch, faults)));
  }

  /**
   * Returns the port on which the server listens.
   *
   * @return the TCP port
   */
  public int port() {
    return server.port();
  }

  /**
   * Returns the faults that can be injected into this engine.
   *
   * @return the faults
   */
  public EngineFaults faults() {
    return faults;
  }

  /**
   * Returns the number of tokens generated so far.
   *
   * @return the number of tokens
   */
  public long tokens() {
    return batch.tokens();
  }

  /**
   * Returns how often each request was run.
   *
   * @return the number of runs by request id
   */
  public Map<String, Integer> runs() {
    return batch.runs();
  }

  /** Stops immediately, as in a crash. */
  public void close() {
    server.close();
  }
}
