package io.mothrill.lab.fleet;

import io.mothrill.core.upstream.UpstreamCall;
import io.mothrill.core.upstream.UpstreamExchange;
import io.mothrill.core.upstream.UpstreamFailure;
import io.mothrill.core.upstream.UpstreamFailure.Kind;
import io.mothrill.core.upstream.UpstreamListener;
import io.mothrill.core.upstream.Usage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** An in-memory upstream that answers calls in several steps and counts the runs of each body. */
public final class MemoryUpstream {

  private static final int STEPS = 4;

  /** The time after which a crashed upstream restarts. */
  private static final long RESTART_MS = 3_000;

  private final Map<String, Integer> runsByBody = new HashMap<>();
  private final List<Run> running = new ArrayList<>();
  private long workMs = 200;
  private boolean down;
  private boolean unresponsive;
  private boolean leaving;
  private Optional<String> crashingBody = Optional.empty();

  /**
   * Sets the duration of a call.
   *
   * @param newWorkMs the time from the start of the call to the end of the answer, in milliseconds
   */
  public void setWorkMs(long newWorkMs) {
    workMs = newWorkMs;
  }

  /** Crashes: calls in flight fail and new connections are refused. */
  public void kill() {
    down = true;
    resetConnections();
  }

  /** Resets the connections of all calls in flight, and runs on. */
  void resetConnections() {
    List.copyOf(running).forEach(run -> run.fail(Kind.BROKEN, "connection reset"));
  }

  /**
   * Sets a body that crashes the upstream whenever it runs it; the upstream restarts 3 seconds
   * later.
   *
   * @param body the body
   */
  public void crashOn(String body) {
    crashingBody = Optional.of(body);
  }

  /**
   * Checks whether the upstream refuses connections.
   *
   * @return true between a crash and the next restart
   */
  boolean isDown() {
    return down;
  }

  /** Restarts the upstream after a crash and makes it respond again. */
  public void restart() {
    down = false;
    unresponsive = false;
  }

  /** Stops responding: calls are run, but no answer is sent. */
  public void stopResponding() {
    unresponsive = true;
  }

  /** Announces that it is leaving and refuses new calls as not run. */
  public void startLeaving() {
    leaving = true;
  }

  /**
   * Returns how often a body was run.
   *
   * @param body the body
   * @return the number of runs, including incomplete ones
   */
  public int runsOf(String body) {
    return runsByBody.getOrDefault(body, 0);
  }

  /**
   * Returns the number of calls in flight.
   *
   * @return the number of calls
   */
  public int runningCount() {
    return running.size();
  }

  UpstreamExchange start(UpstreamCall call, UpstreamListener listener, NodeClock clock) {
    Run run = new Run(call, listener, clock);
    if (down) {
      run.schedule(() -> run.fail(Kind.NOT_SENT, "connection refused"), 1);
    } else if (leaving) {
      run.schedule(() -> run.fail(Kind.LEAVING, "leaving"), 1);
    } else {
      String body = new String(call.body().forUpstream(0), StandardCharsets.UTF_8);
      runsByBody.merge(body, 1, Integer::sum);
      running.add(run);
      run.respond(body);
    }
    return run;
  }

  /** Fails a call to an upstream that the network does not reach. */
  static UpstreamExchange unreachable(
      UpstreamCall call, UpstreamListener listener, NodeClock clock) {
    MemoryUpstream downUpstream = new MemoryUpstream();
    downUpstream.down = true;
    return downUpstream.start(call, listener, clock);
  }

  private final class Run implements UpstreamExchange {
    private final UpstreamCall call;
    private final UpstreamListener listener;
    private final NodeClock clock;
    private boolean finished;

    Run(UpstreamCall call, UpstreamListener listener, NodeClock clock) {
      this.call = call;
      this.listener = listener;
      this.clock = clock;
    }

    void schedule(Runnable step, long delayMs) {
      clock.after(
          delayMs,
          () -> {
            if (!finished) {
              step.run();
            }
          });
    }

    void respond(String body) {
      if (crashingBody.filter(body::equals).isPresent()) {
        clock.after(workMs / STEPS, MemoryUpstream.this::kill);
        clock.after(RESTART_MS, MemoryUpstream.this::restart);
        return;
      }
      schedule(() -> fail(Kind.BROKEN, "silent"), workMs + call.stallMs());
      if (unresponsive) {
        return;
      }
      byte[] answer = ("answer to " + body).getBytes(StandardCharsets.UTF_8);
      long tokens = Math.min(call.maxOutputTokens(), answerTokens(body));
      schedule(() -> listener.onHead(200, "text/plain"), workMs / STEPS);
      schedule(() -> emitChunk(answer, new Usage(10, tokens / 2)), workMs / 2);
      schedule(() -> emitChunk(new byte[0], new Usage(10, tokens)), workMs - 1);
      schedule(this::complete, workMs);
    }

    private void emitChunk(byte[] bytes, Usage usage) {
      listener.onChunk(bytes, usage);
    }

    private void complete() {
      finished = true;
      running.remove(this);
      listener.onEnd();
    }

    void fail(Kind kind, String detail) {
      if (!finished) {
        finished = true;
        running.remove(this);
        clock.run(() -> listener.onFailure(new UpstreamFailure(kind, detail)));
      }
    }

    @Override
    public void cancel() {
      finished = true;
      running.remove(this);
    }

    @Override
    public void setReading(boolean reading) {
      // The answers are too small for backpressure to matter.
    }
  }

  /** Returns the length of the answer, which a body may set: {@code ... tokens=40}. */
  private static long answerTokens(String body) {
    int at = body.lastIndexOf("tokens=");
    return at < 0 ? Long.MAX_VALUE : Long.parseLong(body.substring(at + "tokens=".length()));
  }
}
