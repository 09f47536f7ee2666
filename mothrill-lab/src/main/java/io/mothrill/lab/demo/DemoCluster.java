package io.mothrill.lab.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.config.ConfigSnapshot;
import io.mothrill.core.resource.TeamKey;
import io.mothrill.daemon.EntryInstance;
import io.mothrill.daemon.settings.InstanceSettings;
import io.mothrill.daemon.settings.SettingsReader;
import io.mothrill.lab.standin.EngineServer;
import io.mothrill.lab.standin.EngineSettings;
import io.mothrill.lab.standin.PlainServer;
import io.mothrill.lab.standin.PlatformServer;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.http.HttpClient;
import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.json.Json;
import io.mothrill.wire.operator.OperatorClient;
import io.mothrill.wire.time.NettyTimers;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;

/**
 * A local cluster on the loopback interface in one process: a platform, engines, a plain service
 * and entry instances.
 */
public final class DemoCluster implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final long TIMEOUT_MS = 10_000;
  private static final String SALT = "demo";

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(NioIoHandler.newFactory());
  private final NettyTimers timers = new NettyTimers(group);
  private final HttpClient http = new HttpClient(group);
  private final PlatformServer platform = new PlatformServer(group, timers, HOST, 0);
  private final Map<String, EngineServer> engines = new TreeMap<>();
  private final List<EntryInstance> instances = new ArrayList<>();
  private final PlainServer plainService = new PlainServer(group, timers, HOST, 0, 5);

  /**
   * Starts the cluster.
   *
   * @param instanceCount the number of entry instances, which alternate between two failure domains
   * @param engineCount the number of engines
   * @param engine the settings of the engines
   * @param overrides settings of the instances that differ from the defaults, as JSON values by
   *     name
   */
  public DemoCluster(
      int instanceCount, int engineCount, EngineSettings engine, Map<String, JsonNode> overrides) {
    for (int number = 1; number <= engineCount; number++) {
      engines.put("engine-" + number, new EngineServer(group, timers, HOST, 0, engine));
    }
    for (int number = 1; number <= instanceCount; number++) {
      instances.add(EntryInstance.start(settingsOf(number, overrides)));
    }
  }

  private InstanceSettings settingsOf(int number, Map<String, JsonNode> overrides) {
    ObjectNode node = Json.object();
    node.putObject("instance").put("id", "entry-" + number).put("domain", domainOf(number));
    node.putObject("ports").put("caller", 0).put("operator", 0).put("ops", 0).put("peer", 0);
    node.putObject("platform").put("host", HOST).put("port", platform.port());
    overrides.forEach(node::set);
    return SettingsReader.read(node);
  }

  private static String domainOf(int number) {
    return number % 2 == 1 ? "ankara-a" : "ankara-b";
  }

  /**
   * Returns the API key of a team's callers.
   *
   * @param team the name of the team
   * @return the key
   */
  public static String apiKeyOf(String team) {
    return team + ".secret-of-" + team;
  }

  /**
   * Declares a resource and checks that it was accepted.
   *
   * @param kind the kind
   * @param name the name
   * @param spec the spec
   */
  public void declare(String kind, String name, ObjectNode spec) {
    ObjectNode manifest = Json.object().put("apiVersion", "mothrill.io/v1").put("kind", kind);
    manifest.putObject("metadata").put("name", name);
    manifest.set("spec", spec);
    Address server = new Address(HOST, instances.get(0).operatorPort());
    HttpReply reply =
        new OperatorClient(http, server, "demo", TIMEOUT_MS)
            .apply(manifest, UUID.randomUUID().toString())
            .join();
    if (!reply.isSuccess()) {
      throw new IllegalStateException(kind + " " + name + " refused: " + Json.read(reply.body()));
    }
  }

  /**
   * Declares a team with one key.
   *
   * @param team the name of the team
   */
  public void declareTeam(String team) {
    TeamKey key = TeamKey.hash(SALT, apiKeyOf(team).substring(team.length() + 1));
    ObjectNode spec = Json.object();
    spec.putArray("keys").addObject().put("salt", key.salt()).put("sha256", key.sha256());
    declare("Team", team, spec);
  }

  /**
   * Declares a budget with its top-ups.
   *
   * @param budget the name of the budget
   * @param team the name of the team
   * @param topUpTokens the tokens of each top-up, in order
   */
  public void declareBudget(String budget, String team, long... topUpTokens) {
    ObjectNode spec = Json.object().put("team", team);
    var topUps = spec.putArray("topUps");
    for (int index = 0; index < topUpTokens.length; index++) {
      topUps.addObject().put("id", "topup-" + index).put("tokens", topUpTokens[index]);
    }
    declare("Budget", budget, spec);
  }

  /**
   * Declares a model service and an upstream for each engine.
   *
   * @param model the name of the model
   * @param engine the settings of the engines
   */
  public void declareModel(String model, EngineSettings engine) {
    declare("Service", model, Json.object().put("type", "model").put("maxOutputTokens", 2_000));
    int number = 0;
    for (Map.Entry<String, EngineServer> entry : engines.entrySet()) {
      declare(
          "Upstream",
          entry.getKey(),
          upstream(model, entry.getValue().port(), ++number, engine.slots()));
    }
  }

  /**
   * Declares the plain service, whose calls are not idempotent.
   *
   * @param service the name of the service
   */
  public void declarePlainService(String service) {
    declare(
        "Service",
        service,
        Json.object().put("type", "plain").put("repeatable", false).put("tokensPerCall", 1));
    declare("Upstream", service + "-1", upstream(service, plainService.port(), 1, 32));
  }

  private static ObjectNode upstream(String service, int port, int number, int slots) {
    return Json.object()
        .put("service", service)
        .put("host", HOST)
        .put("port", port)
        .put("domain", domainOf(number))
        .put("slots", slots);
  }

  /** Waits until every instance has applied the last declared configuration. */
  public void awaitConfig() {
    long revision = Json.read(config(0).body()).path("revision").asLong();
    for (int attempt = 0; attempt < 200; attempt++) {
      long wanted = revision;
      if (instances.stream().allMatch(instance -> revisionOf(instance) >= wanted)) {
        return;
      }
      sleep(50);
      revision = Math.max(revision, revisionOf(instances.get(0)));
    }
    throw new IllegalStateException("instances did not apply the configuration in time");
  }

  private HttpReply config(int index) {
    sleep(600);
    Address server = new Address(HOST, instances.get(index).operatorPort());
    return new OperatorClient(http, server, "demo", TIMEOUT_MS).config().join();
  }

  private static long revisionOf(EntryInstance instance) {
    PublishedValue<ConfigSnapshot> config = instance.node().config();
    return config.read().revision();
  }

  /**
   * Sleeps for a duration of real time.
   *
   * @param durationMs the duration in milliseconds
   */
  public static void sleep(long durationMs) {
    try {
      Thread.sleep(durationMs);
    } catch (InterruptedException ex) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Returns the caller address of an instance.
   *
   * @param index the index of the instance, from 0
   * @return the address
   */
  public Address callerAddress(int index) {
    return new Address(HOST, instances.get(index).callerPort());
  }

  /**
   * Returns the instances.
   *
   * @return the instances in order
   */
  public List<EntryInstance> instances() {
    return List.copyOf(instances);
  }

  /**
   * Returns the engines.
   *
   * @return the engines by name
   */
  public Map<String, EngineServer> engines() {
    return Map.copyOf(engines);
  }

  /**
   * Returns the plain service.
   *
   * @return the service
   */
  public PlainServer plainService() {
    return plainService;
  }

  /**
   * Returns the platform.
   *
   * @return the platform
   */
  public PlatformServer platform() {
    return platform;
  }

  /**
   * Returns an HTTP client.
   *
   * @return the client
   */
  public HttpClient http() {
    return http;
  }

  @Override
  public void close() {
    instances.forEach(EntryInstance::close);
    engines.values().forEach(EngineServer::close);
    plainService.close();
    platform.close();
    group.shutdownGracefully();
  }
}
