package io.mothrill.daemon.forward;

import io.mothrill.core.forward.retry.RetryBounds;
import io.mothrill.core.forward.view.ViewSettings;
import io.mothrill.core.forward.warmup.WarmUpBounds;
import io.mothrill.wire.http.Address;
import java.util.Map;

/**
 * The settings of a forwarding instance.
 *
 * @param id the id of the machine; stays the same when the process restarts
 * @param domain its failure domain
 * @param regionByDomain the region of each failure domain
 * @param callers the address for callers
 * @param peers the address for other instances
 * @param probes the address for readiness probes
 * @param readyPath the path of the readiness probe
 * @param metricsPort the port for metrics, on the host of the probes
 * @param threadCount the number of event loop threads
 * @param maxBufferedBytes the maximum bytes of bodies buffered at a time
 * @param maxResponseBytes the maximum bytes held at a time for callers and upstreams that read
 *     slowly
 * @param view how plan and upstreams are polled
 * @param retries the limits of retries
 * @param warmUp how far the load on warming upstreams may exceed their capacity
 * @param underPressure whether callers may demand more than there is room for, so that decisions
 *     under load are active for all services
 * @param drainTimeoutMs how long requests may continue after the termination signal
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
    long maxResponseBytes,
    ViewSettings view,
    RetryBounds retries,
    WarmUpBounds warmUp,
    boolean underPressure,
    long drainTimeoutMs) {

  /** Copies the regions. */
  public ForwardSettings {
    regionByDomain = Map.copyOf(regionByDomain);
  }
}
