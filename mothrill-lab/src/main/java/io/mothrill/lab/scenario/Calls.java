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

  private final Map<String, Made> made = new LinkedHashMap<>();

  /** A call that was sent. */
  record Made(String body, MemoryCaller caller) {}

  /** Creates the request of a step; calls with the same key have the same body. */
  static CallRequest request(Step step, String name) {
    String key = keyOf(step, name);
    String body = bodyOf(step, name);
    boolean plain = step.has("plain");
    return new CallRequest(
        step.option("team", "team") + "." + SECRET,
        plain ? ServiceType.PLAIN : ServiceType.MODEL,
        step.option("service"),
        key.isEmpty() ? Optional.empty() : Optional.of(key),
        step.has("batch") ? Optional.of(Priority.BATCH) : Optional.empty(),
        step.has("unrepeatable"),
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
    return step.option("key", step.has("keyed") ? name : "");
  }

  static String bodyOf(Step step, String name) {
    String key = keyOf(step, name);
    return "call " + (key.isEmpty() ? name : key) + " tokens=" + step.number("tokens", 40);
  }

  void add(String name, String body, MemoryCaller caller) {
    made.put(name, new Made(body, caller));
  }

  Made find(Step step, String name) {
    return Optional.ofNullable(made.get(name))
        .orElseThrow(() -> step.wrong("there was no call named " + name));
  }

  /** Returns the calls of a load: those whose names start with the load's name and a dot. */
  List<Made> ofLoad(String load) {
    return made.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(load + "."))
        .map(Map.Entry::getValue)
        .toList();
  }
}
