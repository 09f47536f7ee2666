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

/** The answers of runs that are under way, for retries that wait for them here or elsewhere. */
public final class PendingAnswers {

  private static final long ANSWER_WAIT_MS = 1_000;
  private static final long ANSWER_TIMEOUT_MS = 2_000;

  private final PublishedValue<Membership> members;
  private final PeerLinks links;
  private final Timers timers;
  private final Map<RequestKey, Running> running = new ConcurrentHashMap<>();

  /**
   * Creates the answers.
   *
   * @param members the fleet
   * @param links the way to peers
   * @param dispatcher where requests from peers are served
   * @param timers the time
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
   * Notes a run.
   *
   * @param key the request key
   * @param requestId the run's id
   * @return false when another run of the key is under way here
   */
  boolean begin(RequestKey key, String requestId) {
    return running.putIfAbsent(key, new Running(requestId, new CompletableFuture<>())) == null;
  }

  /**
   * Gives the answer of a run to those who wait for it.
   *
   * @param key the request key
   * @param requestId the run's id
   * @param answer the answer; empty when the run failed or does not run here
   */
  void end(RequestKey key, String requestId, Optional<StoredAnswer> answer) {
    Running run = running.get(key);
    if (run != null && run.requestId().equals(requestId) && running.remove(key, run)) {
      run.answer().complete(answer);
    }
  }

  /**
   * Waits for the answer of a request that an instance runs.
   *
   * <p>The runner is asked again and again, so that one that is gone is noticed soon.
   *
   * @param key the request key
   * @param runner the incarnation that runs it
   * @return the answer; empty when the run failed; fails when the runner does not answer
   */
  public CompletableFuture<Optional<StoredAnswer>> join(RequestKey key, String runner) {
    Membership view = members.read();
    if (view.self().incarnation().equals(runner)) {
      return answerOf(key);
    }
    return view.find(runner)
        .map(peer -> links.ask(peer, new AnswerRequest(key), ANSWER_TIMEOUT_MS))
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
