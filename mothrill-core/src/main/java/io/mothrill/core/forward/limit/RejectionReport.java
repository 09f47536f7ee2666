package io.mothrill.core.forward.limit;

/**
 * A report between instances that an upstream is brittle, which holds for its service.
 *
 * @param incarnation the incarnation of the upstream
 * @param maxPerS how many requests per second it can turn away
 */
public record RejectionReport(String incarnation, int maxPerS) {}
