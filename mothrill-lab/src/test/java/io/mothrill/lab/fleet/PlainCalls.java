package io.mothrill.lab.fleet;

import io.mothrill.core.request.CallRequest;
import io.mothrill.core.resource.ServiceType;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/** Idempotent calls of one team to plain services. */
final class PlainCalls {

  static final String SECRET = "secret";

  private PlainCalls() {}

  static CallRequest to(String service, String body) {
    return new CallRequest(
        "team." + SECRET,
        ServiceType.PLAIN,
        service,
        Optional.empty(),
        Optional.empty(),
        false,
        Optional.of("budget"),
        10,
        OptionalLong.of(90),
        false,
        "",
        body,
        "POST",
        "/",
        "text/plain",
        cap -> body.getBytes(StandardCharsets.UTF_8),
        new byte[0]);
  }
}
