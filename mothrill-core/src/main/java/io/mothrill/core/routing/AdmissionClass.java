package io.mothrill.core.routing;

/** How a waiting call is measured against a window. */
public enum AdmissionClass {
  /** An urgent call. */
  URGENT,
  /** A batch call. */
  BATCH,
  /** A batch call that has waited so long that it may take one slot more. */
  AGED_BATCH
}
