package io.mothrill.core.routing;

/** The class under which the admission policy checks a queued call. */
public enum AdmissionClass {
  /** An urgent call. */
  URGENT,
  /** A batch call. */
  BATCH,
  /** A batch call that has waited long enough to use one slot beyond the batch limit. */
  AGED_BATCH
}
