package io.mothrill.daemon.forward;

import io.mothrill.core.forward.retry.RetryBounds;
import io.mothrill.core.forward.view.ViewSettings;
import io.mothrill.core.forward.warmup.WarmUpBounds;
import io.mothrill.wire.http.Address;
import java.util.Map;

/**
 * The settings of an instance that forwards.
 *
 * @param id names the machine; stays the same when its process is started again
 * @param domain its failure domain
 * @param regionByDomain the region of each failure domain
 * @param callers where callers connect
 * @param peers where other instances connect
 * @param probes where the platform asks whether it is ready
 * @param readyPath the path of that question
 * @param metricsPort where its metrics are, on the address of the probes
 * @param threadCount event loops
 * @param maxBufferedBytes the most bytes of bodies that are kept at a time
 * @param view how plan and upstreams are followed
 * @param retries how often requests may be sent again
 * @param warmUp how far upstreams that warm up may be sent more than they bear
 * @param leaveMs how long requests may go on after the signal to leave
 */
public record ForwardSettings(
    String id,
    String domain,
    Map<String, String> regionByDomain,
    Address callers,
    Address peers,
    Address probes,
    String readyPath,
    int metricsPort,
    int threadCount,
    long maxBufferedBytes,
    ViewSettings view,
    RetryBounds retries,
    WarmUpBounds warmUp,
    long leaveMs) {

  /** Takes a copy of the regions. */
  public ForwardSettings {
    regionByDomain = Map.copyOf(regionByDomain);
  }
}
