package io.mothrill.wire.forward;

import io.mothrill.core.forward.check.Rejection;
import io.mothrill.core.forward.lease.SendLease;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import io.mothrill.core.forward.upstream.UpstreamQuery.Eligibility;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * Picks the upstreams of one request one after the other, each with the lease that it needs;
 * confined to the caller's event loop.
 */
final class UpstreamSearch {

  /** With so many upstreams without room the next one most likely has none either. */
  private static final int MAX_DENIALS = 8;

  private final ForwardDependencies dependencies;
  private final Executor loop;
  private final Listener listener;
  private final Set<String> triedIncarnations = new LinkedHashSet<>();
  private int denials;

  /** The request that the upstream is for. */
  interface Listener {

    boolean hasEnded();

    /** Returns the current query for an upstream that has not been tried. */
    UpstreamQuery query(Set<String> triedIncarnations);

    void onFound(RegisteredUpstream upstream, SendLease lease);

    void onNoneFound(Rejection rejection);
  }

  UpstreamSearch(ForwardDependencies dependencies, Executor loop, Listener listener) {
    this.dependencies = dependencies;
    this.loop = loop;
    this.listener = listener;
  }

  int triedCount() {
    return triedIncarnations.size();
  }

  void findNext() {
    UpstreamQuery query = listener.query(triedIncarnations);
    Optional<RegisteredUpstream> picked = dependencies.picker().pick(query);
    if (picked.isEmpty()) {
      listener.onNoneFound(dependencies.checks().findRejection(query));
      return;
    }
    RegisteredUpstream upstream = picked.get();
    long remainingMs = query.eligibility().deadlineMs() - dependencies.timers().nowMs();
    dependencies
        .rejectionBudgets()
        .acquireLease(upstream, remainingMs)
        .thenAccept(lease -> loop.execute(() -> onLease(upstream, lease)));
  }

  private void onLease(RegisteredUpstream upstream, Optional<SendLease> lease) {
    if (listener.hasEnded()) {
      lease.ifPresent(SendLease::end);
    } else if (lease.isPresent()) {
      triedIncarnations.add(upstream.incarnation());
      listener.onFound(upstream, lease.get());
    } else if (++denials < MAX_DENIALS) {
      findNext();
    } else {
      listener.onNoneFound(
          new Rejection(Cause.LIMITED, dependencies.rejectionBudgets().retryAfterMs(upstream)));
    }
  }

  /** Checks whether the request may be written to an upstream now. */
  boolean admit(RegisteredUpstream upstream, SendLease lease) {
    UpstreamQuery query = listener.query(triedIncarnations);
    Eligibility eligibility = query.eligibility().withLease(lease.isHeld());
    return dependencies.checks().admit(upstream, query.withEligibility(eligibility));
  }
}
