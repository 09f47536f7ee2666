package io.mothrill.core.resource;

/** The type of a service's upstreams. */
public enum ServiceType {
  /** Model engines, billed by the tokens they report. */
  MODEL,
  /** Plain services, billed a fixed number of tokens per call. */
  PLAIN
}
