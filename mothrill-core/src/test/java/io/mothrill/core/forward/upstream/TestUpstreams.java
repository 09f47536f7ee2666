package io.mothrill.core.forward.upstream;

import java.util.OptionalLong;

/** Upstreams for tests that care for little more than their names. */
public final class TestUpstreams {

  private TestUpstreams() {}

  /** Makes one start of a warm upstream that takes requests. */
  public static RegisteredUpstream started(String id, String domain, long startedMs) {
    return new RegisteredUpstream(
        id,
        "asistan",
        "10.0.0.1",
        80,
        domain,
        16,
        false,
        OptionalLong.of(0),
        new RegistrationVersion(startedMs, 1));
  }
}
