package io.mothrill.lab.standin;

import io.mothrill.core.time.Timers;
import io.mothrill.wire.http.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.List;
import java.util.Map;

/**
 * A stand-in for a model engine, over the usual chat completions interface.
 *
 * <p>It batches continuously in limited slots, honours priorities, remembers prompts, streams one
 * token a step, cancels what nobody reads, reports its load with a lag, and can leave, fall silent
 * or give crossed answers.
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
   * @param timers the time
   * @param host an IP address
   * @param port a TCP port; 0 for any
   * @param settings how it works
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
   * Gives the port.
   *
   * @return the port that is listened on
   */
  public int port() {
    return server.port();
  }

  /**
   * Gives the switches for its faults.
   *
   * @return the faults
   */
  public EngineFaults faults() {
    return faults;
  }

  /**
   * Counts the tokens generated so far.
   *
   * @return tokens
   */
  public long tokens() {
    return batch.tokens();
  }

  /**
   * Counts how often each request was run.
   *
   * @return runs by request id
   */
  public Map<String, Integer> runs() {
    return batch.runs();
  }

  /** Stops at once, as a crash would. */
  public void close() {
    server.close();
  }
}
