package io.mothrill.core.forward.load;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.tinylog.Logger;

/**
 * Determines for which services decisions under load are active.
 *
 * <p>They are active for all services where the settings ask for them, and for single services
 * whose upstreams announce how much their machines slow them down. Everywhere else requests are
 * served as without them.
 *
 * <pre>{@code
 * LoadFeatures features = LoadFeatures.onDemand();
 * features.onContentionAnnounced("asistan");
 * boolean active = features.isActive("asistan");
 * }</pre>
 */
public final class LoadFeatures {

  private final boolean underPressure;
  private final Set<String> contendedServices = ConcurrentHashMap.newKeySet();

  private LoadFeatures(boolean underPressure) {
    this.underPressure = underPressure;
  }

  /**
   * Creates features that are active from the start if the settings ask for it.
   *
   * @param underPressure whether callers may demand more than there is room for
   * @return the features
   */
  public static LoadFeatures of(boolean underPressure) {
    return new LoadFeatures(underPressure);
  }

  /**
   * Creates features that are active only for services whose upstreams announce contention.
   *
   * @return the features
   */
  public static LoadFeatures onDemand() {
    return of(false);
  }

  /**
   * Checks whether decisions under load are active for a service.
   *
   * @param service the service's name
   * @return true if they are
   */
  public boolean isActive(String service) {
    return underPressure || contendedServices.contains(service);
  }

  /**
   * Called when an upstream has announced how much its machine slows it down.
   *
   * @param service the upstream's service
   */
  public void onContentionAnnounced(String service) {
    if (contendedServices.add(service) && !underPressure) {
      Logger.info("decisions under load active service={}", service);
    }
  }
}
