package io.mothrill.lab.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.lab.scenario.Scenario;
import io.mothrill.lab.scenario.ScenarioCount;
import io.mothrill.wire.json.Json;

/**
 * Measures how many non-idempotent calls are served while the platform is down or a failure domain
 * is partitioned from it.
 */
final class OutageExperiment implements Experiment {

  private static final String FLEET =
      """
      start ankara-a-1 ankara-a
      start ankara-a-2 ankara-a
      start ankara-b-1 ankara-b
      start ankara-b-2 ankara-b
      start konya-1 konya
      start kayseri-1 kayseri
      team team
      budget b topup=t1:10_000_000
      service sira plain unrepeatable
      upstream s1 service=sira domain=ankara-a
      upstream s2 service=sira domain=konya
      advance 30s
      load name=warm plain service=sira every=200ms for=2m \
      at=ankara-a-1,ankara-a-2,ankara-b-1,ankara-b-2,konya-1,kayseri-1
      """;
  private static final String ALL =
      "at=ankara-a-1,ankara-a-2,ankara-b-1,ankara-b-2,konya-1,kayseri-1";

  @Override
  public ObjectNode run() {
    ObjectNode figures = Json.object();
    measure(figures, "none", "", ALL);
    measure(figures, "platform down", "platform down\n", ALL);
    measure(
        figures, "platform down and one instance dead", "platform down\nkill ankara-a-1\n", ALL);
    String partition =
        "cut konya platform\ncut konya ankara-a\ncut konya ankara-b\ncut konya kayseri\n";
    measure(figures, "konya cut off: the others", partition, ALL.replace("konya-1,", ""));
    measure(figures, "konya cut off: konya", partition, "at=konya-1");
    return figures;
  }

  private static void measure(ObjectNode figures, String name, String fault, String instances) {
    measureKeys(figures, name + ", no key", fault, instances, "");
    measureKeys(figures, name + ", own keys", fault, instances, " keyed");
  }

  private static void measureKeys(
      ObjectNode figures, String name, String fault, String instances, String keyed) {
    String load =
        "load name=out plain service=sira every=200ms for=10m " + instances + keyed + "\n";
    ScenarioCount count =
        Scenario.parse(FLEET + fault + load + "advance 30s\n").runAndCount(1, "out");
    System.out.printf(
        "%-52s asked %5d served %5d  %s%n", name, count.sent(), count.served(), count.states());
    figures
        .putObject(name)
        .put("asked", count.sent())
        .put("served", count.served())
        .put("runTwice", count.runMoreThanOnce());
  }
}
