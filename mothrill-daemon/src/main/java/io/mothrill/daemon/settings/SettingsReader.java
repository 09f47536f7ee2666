package io.mothrill.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.core.budget.BudgetSettings;
import io.mothrill.core.drain.DrainSettings;
import io.mothrill.core.node.NodeSettings;
import io.mothrill.core.node.RoutingSettings;
import io.mothrill.core.request.RequestSettings;
import io.mothrill.core.routing.QueueSettings;
import io.mothrill.daemon.settings.InstanceSettings.Ports;
import io.mothrill.wire.caller.CallerLimits;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.json.JsonFields;

/**
 * Parses the settings of an entry instance.
 *
 * <p>All settings except the instance's name, its domain, its ports and the platform's address have
 * defaults. Unknown fields, wrong types and values out of range are rejected with the path of the
 * field.
 */
public final class SettingsReader {

  private static final int MAX_PORT = 65_535;
  private static final double PERCENT = 100;
  private static final long DAY_MS = 86_400_000;
  private static final String LOOPBACK = "127.0.0.1";

  private SettingsReader() {}

  /**
   * Parses settings.
   *
   * @param node the JSON object
   * @return the settings
   * @throws io.mothrill.core.error.InvalidInputException listing every invalid field
   */
  public static InstanceSettings read(JsonNode node) {
    JsonFields fields = JsonFields.of(node, "");
    Instance instance = fields.object("instance", Instance::read);
    InstanceSettings settings =
        new InstanceSettings(
            instance.id(),
            instance.domain(),
            instance.host(),
            fields.object("ports", SettingsReader::ports),
            fields.object("platform", SettingsReader::platform),
            fields.object("platformTimeouts", SettingsReader::platformTimeoutMs),
            new NodeSettings(
                fields.object("budgets", SettingsReader::budgets),
                fields.object("requests", SettingsReader::requests),
                fields.object("queues", SettingsReader::queues),
                fields.object("routing", SettingsReader::routing),
                fields.object("drain", SettingsReader::drain)),
            fields.object("callers", SettingsReader::callers));
    fields.finish();
    return settings;
  }

  private record Instance(String id, String domain, String host) {

    static Instance read(JsonFields fields) {
      return new Instance(fields.name("id"), fields.name("domain"), fields.text("host", LOOPBACK));
    }
  }

  private static Ports ports(JsonFields fields) {
    return new Ports(
        port(fields, "caller"),
        port(fields, "operator"),
        port(fields, "ops"),
        port(fields, "peer"));
  }

  private static int port(JsonFields fields, String name) {
    return (int) fields.number(name, 0, MAX_PORT);
  }

  private static Address platform(JsonFields fields) {
    return new Address(fields.text("host"), (int) fields.number("port", 1, MAX_PORT));
  }

  private static long platformTimeoutMs(JsonFields fields) {
    return fields.number("answerMs", 1, 60_000, 2_000);
  }

  private static BudgetSettings budgets(JsonFields fields) {
    BudgetSettings standard = BudgetSettings.standard();
    BudgetSettings settings =
        new BudgetSettings(
            duration(fields, "leaseMs", standard.leaseMs()),
            duration(fields, "marginMs", standard.marginMs()),
            duration(fields, "reclaimGraceMs", standard.reclaimGraceMs()),
            duration(fields, "enduranceMs", standard.enduranceMs()),
            duration(fields, "sliceMs", standard.sliceMs()),
            fields.number("freeDivisor", 1, 1_000, standard.freeDivisor()),
            fields.number("floorTokens", 0, 1_000_000_000, standard.floorTokens()),
            duration(fields, "postMs", standard.postMs()));
    if (settings.marginMs() >= settings.leaseMs()) {
      fields.refuse("marginMs", "must be less than leaseMs");
    }
    return settings;
  }

  private static long duration(JsonFields fields, String name, long fallback) {
    return fields.number(name, 1, 30 * DAY_MS, fallback);
  }

  private static double percent(JsonFields fields, String name, long max, double fallback) {
    return fields.number(name, 0, max, Math.round(fallback * PERCENT)) / PERCENT;
  }

  private static RequestSettings requests(JsonFields fields) {
    RequestSettings standard = RequestSettings.standard();
    return new RequestSettings(
        (int) fields.number("maxAttempts", 1, 10, standard.maxAttempts()),
        percent(fields, "retryPercent", 100, standard.retryRatio()),
        duration(fields, "stallMs", standard.stallMs()),
        duration(fields, "avoidMs", standard.avoidMs()),
        duration(fields, "finishWaitMs", standard.finishWaitMs()),
        (int) fields.number("keptAnswerBytes", 0, 64 << 20, standard.keptAnswerBytes()),
        duration(fields, "recordWindowMs", standard.recordWindowMs()),
        duration(fields, "claimWindowMs", standard.claimWindowMs()));
  }

  private static QueueSettings queues(JsonFields fields) {
    QueueSettings standard = QueueSettings.standard();
    return new QueueSettings(
        duration(fields, "urgentWaitMs", standard.urgentWaitMs()),
        duration(fields, "batchWaitMs", standard.batchWaitMs()),
        duration(fields, "batchAgingMs", standard.batchAgingMs()));
  }

  private static RoutingSettings routing(JsonFields fields) {
    RoutingSettings standard = RoutingSettings.standard();
    return new RoutingSettings(
        percent(fields, "urgentOnlyPercent", 90, standard.urgentOnlyShare()),
        percent(fields, "batchOnlyPercent", 90, standard.batchOnlyShare()),
        duration(fields, "loadFadeMs", standard.loadFadeMs()),
        (int) fields.number("compared", 1, 1_000, standard.compared()));
  }

  private static CallerLimits callers(JsonFields fields) {
    CallerLimits standard = CallerLimits.standard();
    return new CallerLimits(
        (int) fields.number("maxBodyBytes", 1, 64 << 20, standard.maxBodyBytes()),
        duration(fields, "sendStallMs", standard.sendStallMs()),
        duration(fields, "readStallMs", standard.readStallMs()));
  }

  private static DrainSettings drain(JsonFields fields) {
    DrainSettings standard = DrainSettings.standard();
    return new DrainSettings(
        fields.number("announceMs", 0, DAY_MS, standard.announceMs()),
        duration(fields, "finishMs", standard.finishMs()),
        duration(fields, "handOverMs", standard.handOverMs()));
  }
}
