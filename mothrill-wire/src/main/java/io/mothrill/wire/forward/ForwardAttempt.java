package io.mothrill.wire.forward;

import io.mothrill.core.forward.buffer.ConnectionBuffer;
import io.mothrill.core.forward.capacity.HeldTokens;
import io.mothrill.core.forward.check.Rejection;
import io.mothrill.core.forward.contention.RequestObservation;
import io.mothrill.core.forward.lease.SendLease;
import io.mothrill.core.forward.path.PathOutcome;
import io.mothrill.core.forward.prompt.SentPrompt;
import io.mothrill.core.forward.request.ForwardRefusal;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamLoad;
import io.mothrill.core.forward.upstream.UpstreamStatus;
import io.mothrill.core.time.Subscription;
import io.mothrill.wire.connection.ConnectionEnd;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;

/** Sends a request to one upstream and relays its response. */
final class ForwardAttempt implements UpstreamSink {

  /**
   * How long a full upstream is avoided; about the time in which its next requests end and free a
   * slot.
   */
  private static final long FULL_AVOID_MS = 250;

  /** The outcome of a request that was answered completely. */
  static final String SERVED = "served";

  private static final int MISDIRECTED = 421;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int FIRST_ERROR = 400;

  private final AdmittedRequest admitted;
  private final ForwardDependencies dependencies;
  private final ForwardProgress progress;
  private final AttemptOwner owner;
  private final RegisteredUpstream upstream;
  private final SendLease lease;
  private final UpstreamLoad load;
  private final long promptTokens;
  private final AttemptRecorder recorder;
  private final IdleTimer idleTimer;
  private final ConnectionBuffer collected;
  private final ResponseFlow flow;
  private UpstreamConnection connection;
  private SentPrompt sentPrompt = SentPrompt.UNTRACKED;
  private Subscription replacement = () -> {};
  private HeldTokens held = HeldTokens.NONE;
  private RequestObservation observation = RequestObservation.NONE;
  private boolean finished;
  private boolean sent;
  private boolean prefillDone;
  private long sentMs;
  private HttpResponse response;
  private PlainBody body;
  private EventSplitter splitter;
  private EventRelay relay;

  ForwardAttempt(
      AdmittedRequest admitted,
      ForwardProgress progress,
      AttemptOwner owner,
      RegisteredUpstream upstream,
      SendLease lease) {
    this.admitted = admitted;
    this.dependencies = admitted.received().dependencies();
    this.progress = progress;
    this.owner = owner;
    this.upstream = upstream;
    this.lease = lease;
    this.load = dependencies.loads().of(upstream.incarnation());
    this.recorder = new AttemptRecorder(admitted, upstream, load);
    this.idleTimer =
        new IdleTimer(
            dependencies.timers(),
            admitted.received().loop(),
            IdleTimer.timeoutMs(admitted.route().targetLatencyMs()),
            this::onIdle);
    this.collected = dependencies.buffers().newBuffer();
    this.flow =
        new ResponseFlow(
            admitted.response(),
            dependencies
                .buffers()
                .newPause(
                    admitted.response().unsent(),
                    admitted.received().loop(),
                    owner::abortSlowCaller),
            idleTimer::onReceived);
    long nowMs = dependencies.timers().nowMs();
    this.promptTokens =
        admitted
            .call()
            .prompt()
            .map(
                prompt ->
                    dependencies
                        .prefixCache()
                        .uncachedTokens(prompt, upstream.incarnation(), nowMs))
            .orElse(0L);
  }

  /** Pauses or resumes reading from the upstream, as backpressure from the caller. */
  void setReading(boolean reading) {
    flow.setReading(reading);
  }

  /** Records that this upstream did not answer the request. */
  private void recordFailure(String result) {
    recorder.recordAttempt(progress, result);
  }

  List<ForwardedRequestLog.Attempt> recordAndGetAttempts(String result) {
    recorder.recordAttempt(progress, result);
    return progress.attempts;
  }

  void connect() {
    int timeoutMs =
        dependencies
            .connectTimeouts()
            .timeoutMs(
                upstream.service(), admitted.route().targetLatencyMs(), progress.attempts.size());
    admitted
        .received()
        .pool()
        .acquire(
            new UpstreamConnector.Target(upstream, admitted.call().id(), timeoutMs),
            !admitted.route().kind().isRetryable(),
            UpstreamConnector.Listener.of(this::onConnected, this::onConnectFailed));
  }

  private void onConnectFailed(PathOutcome outcome, String detail) {
    dependencies.paths().onRequestFailed(upstream);
    if (finished || owner.hasEnded()) {
      return;
    }
    finishUnsent();
    recordFailure(detail);
    owner.tryNextUpstream();
  }

  private void finishUnsent() {
    finished = true;
    lease.end();
  }

  private void onConnected(UpstreamConnection connected) {
    if (finished || owner.hasEnded()) {
      connected.close();
      return;
    }
    if (!admitted.response().isConnected()) {
      finishUnsent();
      connected.close();
      return;
    }
    if (!connected.isActive()) {
      onClosedBeforeSending();
      return;
    }
    if (!owner.mayBeSentTo(upstream, lease)) {
      finishUnsent();
      connected.close();
      owner.tryNextUpstream();
      return;
    }
    connection = connected;
    connected.relay().ifPresent(recorder::setRelay);
    recorder.setConnection(connected.use().withRequest(admitted.call().id()));
    flow.attach(connected);
    sent = true;
    progress.onSent(upstream);
    sentMs = dependencies.timers().nowMs();
    load.onSent(promptTokens);
    held = holdTokens();
    observation = observe();
    dependencies.selfReports().onSent(upstream);
    admitted
        .call()
        .prompt()
        .ifPresent(
            prompt -> {
              sentPrompt = dependencies.promptTracker().onSent(upstream, prompt);
              dependencies.prefixCache().onSent(prompt, upstream.incarnation(), sentMs);
            });
    dependencies.promptNotices().send(upstream.incarnation(), promptTokens);
    connection.send(
        UpstreamRequest.of(admitted, upstream.id(), progress.lastEventId),
        admitted.call().id(),
        this);
    replacement =
        load.onReplaced(
            () ->
                admitted
                    .received()
                    .loop()
                    .execute(() -> onFailure(ResponseFailure.REPLACED, "upstream was restarted")));
    idleTimer.start();
  }

  private HeldTokens holdTokens() {
    return admitted
        .call()
        .prompt()
        .map(
            prompt ->
                dependencies.holdings().onSent(upstream, prompt.maxTokens(), promptTokens, sentMs))
        .orElse(HeldTokens.NONE);
  }

  /**
   * Handles an upstream that has closed the connection before the request was written, for example
   * because it has too many.
   */
  private void onClosedBeforeSending() {
    finishUnsent();
    load.avoidFor(dependencies.timers().nowMs(), FULL_AVOID_MS);
    recordFailure("connection closed before the request was sent");
    owner.tryNextUpstream();
  }

  /**
   * Starts observing the wait at the upstream. The time that a response takes can be expected only
   * for plain requests and for streams that begin when a prompt has been read.
   */
  private RequestObservation observe() {
    boolean hasPrompt = admitted.call().prompt().isPresent();
    long targetLatencyMs = admitted.route().targetLatencyMs();
    if (admitted.route().kind().isStream() != hasPrompt) {
      return RequestObservation.NONE;
    }
    return hasPrompt
        ? dependencies.contention().onPromptSent(upstream, targetLatencyMs, promptTokens)
        : dependencies.contention().onPlainSent(upstream, targetLatencyMs);
  }

  /**
   * Handles an upstream from which nothing was received for the idle timeout. Other requests avoid
   * it meanwhile; this request is sent to another upstream only if it may run more than once, since
   * an idle connection does not show that the request has not run.
   */
  private void onIdle(long idleMs) {
    if (finished || owner.hasEnded() || flow.isPaused()) {
      return;
    }
    dependencies.paths().onRequestFailed(upstream);
    if (owner.tryAcquireRerun()) {
      recordFailure("nothing received for " + idleMs + " ms");
      cancel();
      owner.tryNextUpstream();
    }
  }

  /** Closes the connection and ignores whatever it still delivers. */
  void cancel() {
    if (finished) {
      return;
    }
    if (sent) {
      lease.abort();
    }
    finish();
    if (connection != null) {
      connection.cancel();
    }
  }

  private void finish() {
    finished = true;
    idleTimer.stop();
    flow.stop();
    replacement.cancel();
    observation.stop();
    lease.end();
    if (sent) {
      recordPrefillDone();
      load.onRequestEnded();
      held.end(dependencies.timers().nowMs());
      sentPrompt.onEnded(dependencies.timers().nowMs() - sentMs);
    }
    collected.remove(collected.heldBytes());
    if (body != null) {
      body.release();
      body = null;
    }
  }

  private void recordPrefillDone() {
    if (!prefillDone) {
      prefillDone = true;
      load.onPrefillDone(promptTokens);
      sentPrompt.onPrefillDone();
    }
  }

  private void onReceived() {
    idleTimer.onReceived();
    dependencies.contacts().accept(upstream);
  }

  @Override
  public void onHead(HttpResponse newResponse, ResponseMetadata metadata) {
    onReceived();
    response = newResponse;
    int status = response.status().code();
    if (status != MISDIRECTED) {
      applyMetadata(metadata);
    }
    if (metadata.notRun() || status == MISDIRECTED) {
      onNotRun(status);
      return;
    }
    boolean streams = admitted.route().kind().isStream() && status < FIRST_ERROR;
    if (streams) {
      splitter = new EventSplitter();
      relay = new EventRelay(admitted, progress, response, upstream);
    } else {
      body = new PlainBody(collected);
    }
  }

  private void applyMetadata(ResponseMetadata metadata) {
    if (metadata.runningCount().isPresent()) {
      int running = metadata.runningCount().getAsInt();
      int queued = metadata.queuedCount().orElse(0);
      load.onReport(running, queued, idleTimer.lastReceivedMs());
      if (admitted.call().prompt().isPresent()) {
        dependencies.holdings().onReport(upstream, running, queued, idleTimer.lastReceivedMs());
      }
    }
    if (metadata.slowdown().isPresent()) {
      dependencies.loadFeatures().onContentionAnnounced(upstream.service());
    }
    observation.onHead(metadata.runningCount(), metadata.queuedCount(), metadata.slowdown());
    lease.onAnswer(
        metadata.requestCount(),
        admitted.route().kind().isStream(),
        metadata.selfReport().turnedAway());
    dependencies.selfReports().onAnswer(upstream, sentMs, metadata.selfReport());
  }

  private void onNotRun(int status) {
    if (status == MISDIRECTED) {
      dependencies.statusBroadcast().onDetected(upstream, UpstreamStatus.REPLACED);
    } else {
      load.avoidFor(dependencies.timers().nowMs(), FULL_AVOID_MS);
      observation.onNotRun();
    }
    recordFailure("not run, status " + status);
    held.release();
    progress.runCount--;
    progress.mayHaveRun = progress.runCount > 0;
    cancel();
    Optional<Rejection> rejection = status == MISDIRECTED ? Optional.empty() : owner.onTurnedAway();
    if (rejection.isEmpty() && owner.tryAcquireRetry()) {
      owner.tryNextUpstream();
    } else {
      Rejection last = rejection.orElse(ForwardExchange.FULL);
      owner.endWithoutResponse(last.cause(), last.retryAfterMs());
    }
  }

  @Override
  public void onContent(ByteBuf content) {
    onReceived();
    if (splitter == null) {
      onPlainContent(content);
      return;
    }
    int heldBytes = splitter.partialBytes();
    for (EventSplitter.Event event : splitter.split(content)) {
      if (!finished) {
        relayEvent(event);
      }
    }
    if (!finished) {
      onPartialEvent(splitter.partialBytes() - heldBytes);
    }
  }

  /** An incomplete event is not relayed, so one that does not end would fill the memory. */
  private void onPartialEvent(int addedBytes) {
    collected.add(addedBytes);
    if (splitter.partialBytes() > dependencies.buffers().maxConnectionBytes()) {
      onFailure(ResponseFailure.PROTOCOL_ERROR, "event is too long to be held");
    }
  }

  /**
   * Collects a plain response, so that another upstream can be tried if it breaks off. A response
   * that is too long to be held is relayed to the caller from then on.
   */
  private void onPlainContent(ByteBuf content) {
    if (body == null) {
      admitted.response().sendChunk(ByteBufUtil.getBytes(content));
      return;
    }
    body.add(content);
    if (body.isFull() || !admitted.response().isWritable()) {
      relayPlainResponse();
    }
  }

  private void relayPlainResponse() {
    Optional<Runnable> substitute = findSubstitute(response.status().code());
    if (substitute.isPresent()) {
      cancel();
      substitute.get().run();
      return;
    }
    progress.firstByteMs = admitted.elapsedMs();
    progress.plainStarted = true;
    new EventRelay(admitted, progress, response, upstream).startStream();
    admitted.response().sendChunk(body.takeBytes());
    body = null;
  }

  private void relayEvent(EventSplitter.Event event) {
    if (!prefillDone) {
      long tookMs = idleTimer.lastReceivedMs() - sentMs;
      dependencies.prefillSpeed().onPrefill(promptTokens, tookMs);
      sentPrompt.onFirstEvent(tookMs);
      observation.onAnswered();
      owner.requestCrashGuard().onAnswerBegun();
    }
    recordPrefillDone();
    relay.relay(event).ifPresent(detail -> onFailure(ResponseFailure.PROTOCOL_ERROR, detail));
  }

  @Override
  public void onReadComplete() {
    if (progress.streamStarted) {
      admitted.response().flush();
      flow.pauseIfCallerIsSlow();
    }
  }

  @Override
  public int maxReadBytes() {
    return progress.streamStarted
        ? admitted.response().unsent().maxReadBytes(UpstreamPool.WATER_MARK.high())
        : collected.maxReadBytes(Integer.MAX_VALUE);
  }

  @Override
  public void onRequestProgress() {
    idleTimer.onReceived();
  }

  @Override
  public void onEnd(Optional<ConnectionEnd> connectionEnd) {
    connectionEnd.ifPresent(recorder::setConnectionEnd);
    boolean endsWithConnection =
        connectionEnd.isPresent() && !UpstreamConnection.isSelfDelimited(response);
    if (endsWithConnection && (splitter == null || !splitter.hasPartial())) {
      checkEnd();
    } else {
      onRegularEnd();
    }
  }

  /**
   * A terminated process ends its connections like one that has sent its whole response, and so
   * does one that closes a connection before it has read the request.
   */
  private void checkEnd() {
    idleTimer.stop();
    flow.stop();
    if (progress.streamStarted) {
      admitted.response().flush();
    }
    dependencies
        .endCheck()
        .check(upstream, admitted.route().kind().isRetryable())
        .thenAccept(state -> admitted.received().loop().execute(() -> onEndChecked(state)));
  }

  private void onEndChecked(EndCheck.State state) {
    if (finished || owner.hasEnded()) {
      connection.close();
      return;
    }
    recorder.setEndCheck(state);
    if (state == EndCheck.State.TERMINATED) {
      onFailure(ResponseFailure.CLOSED, "upstream terminated, the response may not be whole");
    } else {
      connection.checkDelivery(this::onDeliveryChecked);
    }
  }

  private void onDeliveryChecked(boolean delivered) {
    if (finished || owner.hasEnded()) {
      return;
    }
    if (delivered) {
      onRegularEnd();
    } else {
      onFailure(ResponseFailure.CLOSED, "request was not taken, the response may not be whole");
    }
  }

  private void onRegularEnd() {
    if (splitter != null) {
      onStreamEnd();
    } else if (body == null) {
      onRelayedPlainEnd();
    } else {
      onBodyEnd();
    }
  }

  private void onStreamEnd() {
    if (splitter.hasPartial()) {
      onFailure(ResponseFailure.PROTOCOL_ERROR, "stream ended inside an event");
      return;
    }
    load.onSuccess();
    recordCompletedRun();
    finish();
    relay.startStream();
    owner.end(SERVED, response.status().code());
    admitted.response().endStream();
  }

  /**
   * Records that the upstream survived running the request. A response that is delimited by the end
   * of its connection does not show this, because a crash of the upstream would look the same.
   */
  private void recordCompletedRun() {
    if (UpstreamConnection.isSelfDelimited(response)) {
      owner.requestCrashGuard().onSuccess();
    }
  }

  private void recordPlainEnd() {
    int status = response.status().code();
    if (status < FIRST_SERVER_ERROR) {
      load.onSuccess();
    }
    if (status < FIRST_ERROR) {
      recordCompletedRun();
    }
  }

  private void observePlainEnd(int status) {
    if (status < FIRST_ERROR) {
      observation.onAnswered();
    }
  }

  private static String outcome(int status) {
    return status < FIRST_ERROR ? SERVED : "upstream_error";
  }

  private void onRelayedPlainEnd() {
    int status = response.status().code();
    observePlainEnd(status);
    finish();
    recordPlainEnd();
    owner.end(outcome(status), status);
    admitted.response().endStream();
  }

  /** Returns what happens in place of a plain response that the caller must not receive. */
  private Optional<Runnable> findSubstitute(int status) {
    if (status >= FIRST_SERVER_ERROR && owner.tryAcquireRerun()) {
      recordFailure("status " + status);
      return Optional.of(owner::tryNextUpstream);
    }
    if (progress.streamStarted) {
      return Optional.of(
          () -> {
            owner.end("broken", 0);
            admitted.response().abort();
          });
    }
    if (impliesNotRun(status)) {
      progress.firstByteMs = admitted.elapsedMs();
      return Optional.of(() -> owner.refuse(ForwardRefusal.of(Cause.UPSTREAM_FAILED)));
    }
    return Optional.empty();
  }

  private void onBodyEnd() {
    final int status = response.status().code();
    final ByteBuf bytes = body.take();
    body = null;
    observePlainEnd(status);
    finish();
    recordPlainEnd();
    Optional<Runnable> substitute = findSubstitute(status);
    if (substitute.isPresent()) {
      bytes.release();
      substitute.get().run();
      return;
    }
    progress.firstByteMs = admitted.elapsedMs();
    owner.end(outcome(status), status);
    admitted
        .response()
        .sendFull(
            response.status(),
            dependencies.dialect().callerResponseHeaders(response.headers()),
            bytes);
  }

  /**
   * Checks whether a status would tell the caller that the request was not run although it may have
   * been.
   */
  private boolean impliesNotRun(int status) {
    return status == 408 || status == 429 || status == 503;
  }

  @Override
  public void onFailure(ResponseFailure cause, String detail) {
    if (finished || owner.hasEnded()) {
      return;
    }
    cause.reportTo(owner.requestCrashGuard(), upstream);
    dependencies.paths().onRequestFailed(upstream);
    recordFailure(detail);
    held.release();
    cancel();
    if (owner.tryAcquireRerun()) {
      owner.tryNextUpstream();
    } else {
      owner.endWithoutResponse(Cause.UPSTREAM_FAILED, ForwardExchange.NO_UPSTREAM_RETRY_AFTER_MS);
    }
  }
}
