package io.mothrill.core.forward.upstream;

import java.util.OptionalLong;

/** Upstreams for tests in which little more than the id matters. */
public final class TestUpstreams {

  private TestUpstreams() {}

  /** Creates an incarnation of a warm upstream that accepts requests. */
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
