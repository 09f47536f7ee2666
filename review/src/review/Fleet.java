package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.platform.StandInStore;
import io.mothrill.wire.json.Json;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A small deployment on loopback: the platform's store and some entry machines. */
final class Fleet implements AutoCloseable {

  static final String HOST = "ficu95.example";
  static final String KEY = "n2ctnfzs989anu6wsjnb";
  static final String TENANT = "hule930";
  static final String PLAIN = "wuno96b";
  static final String ENGINE = "huvo11a";
  private static final String[] ZONES = {"ankara-a", "ankara-b", "konya", "kayseri"};

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  final StandInStore store = new StandInStore(group);
  final List<Entry> entries = new ArrayList<>();
  private final Path folder;
  private int version;

  Fleet() throws IOException {
    this.folder = Files.createTempDirectory("review-");
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  Path folder() {
    return folder;
  }

  /** Adds an entry machine, which isn't started yet. */
  Entry addEntry(String storeAddress) throws IOException {
    int number = entries.size();
    long pid = ProcessHandle.current().pid();
    String ip = "127." + (1 + pid % 250) + "." + (pid / 250 % 250) + "." + (number + 1);
    String zone = ZONES[number % ZONES.length];
    Entry entry = new Entry("edge-" + zone + "-" + number, zone, ip, folder, storeAddress);
    entries.add(entry);
    return entry;
  }

  Entry addEntry() throws IOException {
    return addEntry("127.0.0.1:" + store.address().port());
  }

  /** Writes a configuration with one route of each kind; the paths begin with the kind. */
  synchronized int configure(long prepaidTokens) {
    ObjectNode config = Json.object().put("version", ++version);
    ArrayNode routes = config.putArray("routes");
    route(routes, "/once/", "non_idempotent", PLAIN, 1_500, 386, 1).put("resumable", false);
    route(routes, "/again/", "idempotent", PLAIN, 1_500, 386, 2).put("resumable", false);
    route(routes, "/long/", "non_idempotent", PLAIN, 12_000, 386, 1).put("resumable", false);
    route(routes, "/stream/", "streaming", ENGINE, 15_000, 800, 1).put("resumable", false);
    route(routes, "/resume/", "streaming", ENGINE, 12_000, 400, 2).put("resumable", true);
    ArrayNode services = config.putArray("services");
    services.addObject().put("name", PLAIN).put("healthPath", "/healthz").put("maxConns", 96);
    services
        .addObject()
        .put("name", ENGINE)
        .put("healthPath", "/healthz")
        .put("maxConns", 360)
        .putObject("engine")
        .put("slots", 64)
        .put("kvCapacity", 548_960)
        .put("stride", 5);
    config
        .putObject("limits")
        .put("maxHeaderBytes", 16_384)
        .put("maxBodyBytes", 4_194_304)
        .put("headerTimeoutMs", 3_000)
        .put("idleTimeoutMs", 15_000);
    config
        .putArray("tenants")
        .addObject()
        .put("name", TENANT)
        .put("priority", 1)
        .put("prepaid", prepaidTokens)
        .putArray("apiKeys")
        .add(KEY);
    store.put("op", "config", config);
    return version;
  }

  /** Writes a configuration with more tenants, whose budgets are never spent. */
  synchronized int configure(long prepaidTokens, List<String> otherKeys) {
    int written = configure(prepaidTokens);
    ObjectNode config = (ObjectNode) store.value("op", "config");
    for (String key : otherKeys) {
      ((ArrayNode) config.get("tenants"))
          .addObject()
          .put("name", "tenant-of-" + key)
          .put("priority", 1)
          .put("prepaid", 100_000_000_000L)
          .putArray("apiKeys")
          .add(key);
    }
    store.put("op", "config", config);
    return written;
  }

  private static ObjectNode route(
      ArrayNode routes,
      String prefix,
      String kind,
      String service,
      long timeoutMs,
      long goalMs,
      int maxAttempts) {
    ObjectNode route =
        routes
            .addObject()
            .put("name", "r" + prefix.replace("/", "-"))
            .put("host", HOST)
            .put("prefix", prefix)
            .put("routeKind", kind)
            .put("timeoutMs", timeoutMs)
            .put("goalMs", goalMs)
            .put("priority", 1)
            .put("service", service)
            .put("maxAttempts", maxAttempts)
            .put("public", false)
            .put("sticky", service.equals(ENGINE));
    if (kind.equals("streaming")) {
      route.put("gapAimMs", 400);
    }
    return route;
  }

  /** Writes the entry of a replica, as the platform does. */
  void register(
      String id, String service, String address, String zone, int slots, String state, int seq) {
    store.put(
        "servers",
        id,
        Json.object()
            .put("service", service)
            .put("address", address)
            .put("zone", zone)
            .put("version", "v1")
            .put("slots", slots)
            .put("state", state)
            .put("coldLeftMs", 0)
            .put("stage", "colocated")
            .put("seq", seq));
  }

  private void killAll() {
    for (Entry entry : entries) {
      try {
        if (entry.isRunning()) {
          entry.kill();
        }
      } catch (InterruptedException ex) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() throws IOException {
    killAll();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    if (System.getProperty("review.keep") != null) {
      System.out.println("kept " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
