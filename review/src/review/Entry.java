package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.wire.json.Json;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry machine: runs the program of the deploy file as a process on its own address. */
final class Entry {

  static int cores = 1;
  static int memoryMb = 280;

  static final int GRACE_S = 8;
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

  private final String name;
  private final String zone;
  private final String ip;
  private final Path folder;
  private final String storeAddress;
  private final int frontendPort;
  private final int readinessPort;
  private final int peerPort;
  private Process process;

  Entry(String name, String zone, String ip, Path folder, String storeAddress) throws IOException {
    this.name = name;
    this.zone = zone;
    this.ip = ip;
    this.folder = folder;
    this.storeAddress = storeAddress;
    int[] ports = freePorts(ip, 3);
    this.frontendPort = ports[0];
    this.readinessPort = ports[1];
    this.peerPort = ports[2];
  }

  private static int[] freePorts(String ip, int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    for (int index = 0; index < count; index++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip));
      sockets.add(socket);
      ports[index] = socket.getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  String name() {
    return name;
  }

  String ip() {
    return ip;
  }

  int frontendPort() {
    return frontendPort;
  }

  int readinessPort() {
    return readinessPort;
  }

  boolean isRunning() {
    return process != null && process.isAlive();
  }

  private static List<String> command() throws IOException {
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no run command");
    }
    return new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
  }

  void start() throws IOException {
    Path settings = folder.resolve(name + ".json");
    Files.write(settings, Json.bytes(settings()));
    ProcessBuilder builder = new ProcessBuilder(command());
    String path = System.getenv("PATH");
    String home = System.getenv().getOrDefault("HOME", "/tmp");
    String javaHome = System.getenv("JAVA_HOME");
    builder.environment().clear();
    builder.environment().put("PATH", path);
    builder.environment().put("HOME", home);
    if (javaHome != null) {
      builder.environment().put("JAVA_HOME", javaHome);
    }
    builder.environment().put("MOTHRILL_BOOT", settings.toString());
    File log = folder.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
  }

  /** The fields of the settings file as the pages show them, with the bounds of the site. */
  private ObjectNode settings() {
    ObjectNode root = Json.object();
    root.put("nodeName", name)
        .put("role", "entry")
        .put("machineClass", "edge")
        .put("ip", ip)
        .put("zone", zone)
        .put("region", "anadolu")
        .put("bootstrap", true)
        .put("discovery", "platform")
        .put("entry", "anycast")
        .put("heartbeatMs", 1200);
    root.putArray("serves").add("edge");
    ObjectNode zones = root.putObject("zones");
    for (String one : List.of("ankara-a", "ankara-b", "konya", "kayseri")) {
      zones.put(one, "anadolu");
    }
    root.putObject("listen")
        .put("frontend", ip + ":" + frontendPort)
        .put("readiness", ip + ":" + readinessPort);
    root.putArray("portRange").add(peerPort).add(peerPort + 15);
    root.putArray("seedNodes");
    root.putObject("limits")
        .put("cpuQuota", 0.75)
        .put("cores", cores)
        .put("memoryMb", memoryMb)
        .put("maxFds", 4200)
        .put("linkMbps", 1000.0)
        .put("diskMb", 0);
    root.putArray("contracts")
        .add("base").add("drain").add("config").add("cost").add("retry")
        .add("recover").add("engine").add("stream").add("tenants").add("platform");
    root.putObject("bounds")
        .put("seedLagS", 3).put("reuseAfterS", 2).put("contactMs", 3000).put("ackMs", 4000)
        .put("catchUpS", 4).put("drainMs", 2000).put("graceS", GRACE_S).put("lossSlackMs", 200)
        .put("configApplyMs", 2000).put("backMs", 250).put("skewMaxMs", 5000)
        .put("retryRatio", 0.2).put("retryWindowS", 10).put("retryExtra", 52)
        .put("recoveryS", 12).put("passMs", 120).put("againS", 9.1).put("settle_ms", 1500);
    root.putObject("platform")
        .put("address", storeAddress)
        .put("form", "table")
        .put("writesPerS", 600).put("readsPerS", 2000).put("txMs", 5.0).put("partWritesS", 200)
        .put("rowBytes", 65536).put("historyS", 20);
    return root;
  }

  /** Waits until the readiness address answers 200. */
  void awaitReady(long withinMs) throws IOException, InterruptedException {
    long endNanos = System.nanoTime() + withinMs * 1_000_000;
    while (System.nanoTime() < endNanos) {
      if (isReady()) {
        return;
      }
      Thread.sleep(20);
    }
    throw new IOException(name + " does not get ready");
  }

  boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, readinessPort), 500);
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write("GET /mothrill/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".getBytes());
      return new String(socket.getInputStream().readNBytes(12)).endsWith("200");
    } catch (IOException ex) {
      return false;
    }
  }

  /** Sends a signal to the process, by its id. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Sends SIGTERM, and SIGKILL after the grace period. */
  void terminate() throws InterruptedException {
    process.destroy();
    if (!process.waitFor(GRACE_S, TimeUnit.SECONDS)) {
      kill();
    }
  }
}
