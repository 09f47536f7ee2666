package io.mothrill.core.forward.prompt;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Estimates for each service how long its engines take to prefill a prompt.
 *
 * <pre>{@code
 * model.onFirstEvent("asistan", 12_000, 182);
 * double expectedMs = model.prefillMs("asistan", 9_000);
 * }</pre>
 */
public final class PrefillTimeModel {

  private final Map<String, PrefillCurve> curves = new ConcurrentHashMap<>();

  /**
   * Records the time to the first event of a prompt.
   *
   * @param service the service
   * @param uncachedTokens the number of tokens that the engine had to prefill, which must be known
   *     rather than estimated
   * @param tookMs the time from sending to the first event, at the engine's usual speed
   */
  public void onFirstEvent(String service, double uncachedTokens, double tookMs) {
    curveOf(service).observe(uncachedTokens, tookMs);
  }

  /**
   * Estimates the time from sending a prompt to its first event on an idle engine.
   *
   * @param service the service
   * @param uncachedTokens the number of tokens to prefill
   * @return the prefill time, and what the network and the first event take
   */
  public double firstEventMs(String service, double uncachedTokens) {
    return curveOf(service).firstEventMs(uncachedTokens);
  }

  /**
   * Estimates the prefill time on an engine that has nothing else to prefill.
   *
   * @param service the service
   * @param uncachedTokens the number of tokens to prefill
   * @return the time for which the engine is occupied, never less for more tokens
   */
  public double prefillMs(String service, double uncachedTokens) {
    return curveOf(service).prefillMs(uncachedTokens);
  }

  private PrefillCurve curveOf(String service) {
    PrefillCurve known = curves.get(service);
    return known == null ? curves.computeIfAbsent(service, unused -> new PrefillCurve()) : known;
  }
}
