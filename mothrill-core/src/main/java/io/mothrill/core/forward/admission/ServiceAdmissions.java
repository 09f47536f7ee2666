package io.mothrill.core.forward.admission;

import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

/** The admissions of all services for which decisions under load are active. */
public final class ServiceAdmissions {

  private final LoadFeatures features;
  private final OccupancySource occupancySource;
  private final RetryAfterPolicy retryAfter;
  private final Timers timers;
  private final RandomGenerator random;
  private final Map<String, ServiceAdmission> byService = new ConcurrentHashMap<>();

  /**
   * Creates the admissions.
   *
   * @param features determines where decisions under load are active
   * @param occupancySource estimates how much of a service is in use
   * @param retryAfter decides when refused callers retry
   * @param timers the clock
   * @param random distributes fractions of a limit over requests
   */
  public ServiceAdmissions(
      LoadFeatures features,
      OccupancySource occupancySource,
      RetryAfterPolicy retryAfter,
      Timers timers,
      RandomGenerator random) {
    this.features = features;
    this.occupancySource = occupancySource;
    this.retryAfter = retryAfter;
    this.timers = timers;
    this.random = random;
  }

  /**
   * Finds the admission of a service.
   *
   * @param service the service's name
   * @return the admission, or empty if decisions under load are not active for the service
   */
  public Optional<ServiceAdmission> find(String service) {
    return features.isActive(service)
        ? Optional.of(byService.computeIfAbsent(service, this::newAdmission))
        : Optional.empty();
  }

  private ServiceAdmission newAdmission(String service) {
    return new ServiceAdmission(service, occupancySource, retryAfter, timers, random);
  }

  /**
   * Sums the counts of all services.
   *
   * @return the counts since the start
   */
  public AdmissionCounts counts() {
    return byService.values().stream()
        .map(ServiceAdmission::counts)
        .reduce(AdmissionCounts.NONE, AdmissionCounts::plus);
  }
}
