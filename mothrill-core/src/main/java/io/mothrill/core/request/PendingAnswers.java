package io.mothrill.core.request;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.PeerMessage.AnswerReply;
import io.mothrill.core.peer.PeerMessage.AnswerRequest;
import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** The answers of runs in flight, for retries that wait for them at this instance or another. */
public final class PendingAnswers {

  private static final long ANSWER_WAIT_MS = 1_000;
  private static final long ANSWER_TIMEOUT_MS = 2_000;

  private final PublishedValue<Membership> members;
  private final PeerLinks links;
  private final Timers timers;
  private final Map<RequestKey, Running> running = new ConcurrentHashMap<>();

  /**
   * Creates an instance without any run.
   *
   * @param members the current membership
   * @param links sends requests to peers
   * @param dispatcher where the handlers of peer requests are registered
   * @param timers the clock and timer service
   */
  public PendingAnswers(
      PublishedValue<Membership> members,
      PeerLinks links,
      PeerDispatcher dispatcher,
      Timers timers) {
    this.members = members;
    this.links = links;
    this.timers = timers;
    dispatcher.on(AnswerRequest.class, this::onAnswerRequest);
  }

  private record Running(String requestId, CompletableFuture<Optional<StoredAnswer>> answer) {}

  /**
   * Records that a run has started.
   *
   * @param key the request key
   * @param requestId the id of the run
   * @return false when another run of the key is in flight at this instance
   */
  boolean begin(RequestKey key, String requestId) {
    return running.putIfAbsent(key, new Running(requestId, new CompletableFuture<>())) == null;
  }

  /**
   * Completes a run, so that those who wait for its answer get it.
   *
   * @param key the request key
   * @param requestId the id of the run
   * @param answer the answer; empty when the run failed or does not run at this instance
   */
  void end(RequestKey key, String requestId, Optional<StoredAnswer> answer) {
    Running run = running.get(key);
    if (run != null && run.requestId().equals(requestId) && running.remove(key, run)) {
      run.answer().complete(answer);
    }
  }

  /**
   * Waits for the answer of a request that runs at an instance.
   *
   * <p>The runner is polled, so that its failure is detected soon.
   *
   * @param key the request key
   * @param runner the incarnation that runs it
   * @return the answer; empty when the run failed; fails when the runner does not respond
   */
  public CompletableFuture<Optional<StoredAnswer>> join(RequestKey key, String runner) {
    Membership view = members.read();
    if (view.self().incarnation().equals(runner)) {
      return answerOf(key);
    }
    return view.find(runner)
        .map(peer -> links.request(peer, new AnswerRequest(key), ANSWER_TIMEOUT_MS))
        .orElseGet(() -> CompletableFuture.failedFuture(new IllegalStateException("runner gone")))
        .thenCompose(
            message -> {
              AnswerReply reply = (AnswerReply) message;
              return reply.pending()
                  ? join(key, runner)
                  : CompletableFuture.completedFuture(reply.answer());
            });
  }

  private CompletableFuture<PeerMessage> onAnswerRequest(AnswerRequest request) {
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    timers.after(ANSWER_WAIT_MS, () -> reply.complete(new AnswerReply(true, Optional.empty())));
    var unused =
        answerOf(request.key())
            .thenAccept(answer -> reply.complete(new AnswerReply(false, answer)));
    return reply;
  }

  private CompletableFuture<Optional<StoredAnswer>> answerOf(RequestKey key) {
    Running run = running.get(key);
    return run == null ? CompletableFuture.completedFuture(Optional.empty()) : run.answer();
  }
}
