package io.mothrill.lab.scenario;

import io.mothrill.core.request.CallRequest;
import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.ServiceType;
import io.mothrill.lab.fleet.MemoryCaller;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** The calls sent by a scenario, by name. */
final class Calls {

  static final String SECRET = "secret";

  private final Map<String, SentCall> sentCalls = new LinkedHashMap<>();

  /** A call that was sent. */
  record SentCall(String body, MemoryCaller caller) {}

  /** Creates the request of a step; calls with the same key have the same body. */
  static CallRequest request(Step step, String name) {
    String key = keyOf(step, name);
    String body = bodyOf(step, name);
    boolean plain = step.hasWord("plain");
    return new CallRequest(
        step.option("team", "team") + "." + SECRET,
        plain ? ServiceType.PLAIN : ServiceType.MODEL,
        step.option("service"),
        key.isEmpty() ? Optional.empty() : Optional.of(key),
        step.hasWord("batch") ? Optional.of(Priority.BATCH) : Optional.empty(),
        step.hasWord("unrepeatable"),
        Optional.ofNullable(step.options().get("budget")),
        step.number("prompt", 10),
        OptionalLong.of(step.number("cap", 90)),
        false,
        "",
        body,
        "POST",
        "/",
        "text/plain",
        cap -> body.getBytes(StandardCharsets.UTF_8),
        new byte[0]);
  }

  /** Returns the idempotency key; each call of a {@code keyed} load has its own. */
  private static String keyOf(Step step, String name) {
    return step.option("key", step.hasWord("keyed") ? name : "");
  }

  static String bodyOf(Step step, String name) {
    String key = keyOf(step, name);
    return "call " + (key.isEmpty() ? name : key) + " tokens=" + step.number("tokens", 40);
  }

  void add(String name, String body, MemoryCaller caller) {
    sentCalls.put(name, new SentCall(body, caller));
  }

  SentCall find(Step step, String name) {
    return Optional.ofNullable(sentCalls.get(name))
        .orElseThrow(() -> step.invalid("there was no call named " + name));
  }

  /** Returns the calls of a load: those whose names start with the load's name and a dot. */
  List<SentCall> ofLoad(String load) {
    return sentCalls.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(load + "."))
        .map(Map.Entry::getValue)
        .toList();
  }
}
