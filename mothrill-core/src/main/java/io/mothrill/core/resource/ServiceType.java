package io.mothrill.core.resource;

/** What stands behind a service. */
public enum ServiceType {
  /** Model engines, billed by the tokens they report. */
  MODEL,
  /** Plain services, billed a fixed number of tokens per call. */
  PLAIN
}
