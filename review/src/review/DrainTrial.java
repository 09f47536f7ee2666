package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Replicas are taken away while a machine is restarted; both are planned work. A trial, not one of the
 * cases.
 */
final class DrainTrial {

  private static final int ENTRIES = 6;

  /** The last machines are restarted in turn; the others run undisturbed all the while. */
  private static final int RESTARTED = 2;

  private static final int REPLICAS = 40;
  private static final int SLOTS = 64;
  private static final long WORK_MS = 20;

  /** Share 0.15 of the replicas at a time. */
  private static final int TAKEN_AWAY = 6;

  private static final long TAKEN_AWAY_GAP_MS = 110;

  private static final long DRAIN_MS = 2_000;

  /** A replica whose entry was removed serves for so long, and then exits. */
  private static final long SERVES_MS = 6_000;

  private static final int ROUNDS = 20;
  private static final long ROUND_MS = 5_000;
  private static final int CLIENTS_PER_ENTRY = 8;
  private static final long CLIENT_PAUSE_MS = 15;

  private final Record record;
  private final Fleet fleet;
  private final boolean trouble;
  private final Random random = new Random(1);
  private final Map<String, Long> removedMs = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> late = new ConcurrentHashMap<>();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final Deque<Running> running = new ArrayDeque<>();
  private int replicaCount;
  private volatile boolean ended;

  private record Running(String id, Replica replica) {}

  private DrainTrial(Record record, Fleet fleet, boolean trouble) {
    this.record = record;
    this.fleet = fleet;
    this.trouble = trouble;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    boolean broken;
    try (Record record = new Record(Path.of(args[0])); Fleet fleet = new Fleet()) {
      broken = new DrainTrial(record, fleet, trouble).play();
    }
    System.exit(broken ? 1 : 0);
  }

  private boolean play() throws Exception {
    fleet.configure(1_000_000);
    for (int number = 0; number < REPLICAS; number++) {
      addReplica();
    }
    for (int number = 0; number < ENTRIES; number++) {
      fleet.addEntry().start();
    }
    for (Entry entry : fleet.entries) {
      entry.awaitReady(20_000);
    }
    Thread.sleep(3_500);
    record.line("start: trouble=%s, the machines have been in touch for 3 s", trouble);
    List<Thread> clients = startClients();
    for (int round = 0; round < ROUNDS; round++) {
      playRound(round);
    }
    ended = true;
    for (Thread client : clients) {
      client.join();
    }
    return judge();
  }

  private void addReplica() throws IOException {
    String id = "i-" + replicaCount++;
    Replica replica = new Replica((head, socket) -> serve(id, head, socket), 0);
    fleet.register(id, Fleet.PLAIN, replica.address(), "ankara-a", SLOTS, "ready", 1);
    running.add(new Running(id, replica));
  }

  private boolean serve(String id, Replica.Head head, Socket socket) throws IOException {
    socket.getInputStream().readNBytes(head.length());
    String request = head.header("Attempt-Id");
    Long goneMs = removedMs.get(id);
    if (goneMs != null && record.nowMs() - goneMs > DRAIN_MS) {
      late.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
      record.line(
          "BROKEN, DRAIN: %s gets %s %d ms after its entry was removed",
          id, request, record.nowMs() - goneMs);
    }
    try {
      Thread.sleep(WORK_MS);
    } catch (InterruptedException ex) {
      return false;
    }
    String body = "done by " + id;
    socket
        .getOutputStream()
        .write(
            ("HTTP/1.1 200 OK\r\nAttempt-Id: " + request + "\r\nReplica-Signature: " + id + "."
                    + request + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
    return true;
  }

  /** Stops a machine, starts it again, and takes replicas away while it starts. */
  private void playRound(int round) throws Exception {
    long beginMs = record.nowMs();
    Entry entry = fleet.entries.get(ENTRIES - RESTARTED + round % RESTARTED);
    if (trouble) {
      record.line("%s gets SIGTERM", entry.name());
      entry.terminate();
      entry.start();
      record.line("%s is started again", entry.name());
    } else {
      Thread.sleep(2_800);
    }
    Thread.sleep(100 + random.nextInt(100));
    for (int number = 0; number < TAKEN_AWAY; number++) {
      Running taken = running.poll();
      fleet.store.remove("servers", taken.id());
      removedMs.put(taken.id(), record.nowMs());
      record.line("the entry of %s is removed", taken.id());
      exitLater(taken);
      Thread.sleep(TAKEN_AWAY_GAP_MS);
    }
    Thread.sleep(Math.max(1, beginMs + ROUND_MS - record.nowMs()));
    for (int number = 0; number < TAKEN_AWAY; number++) {
      addReplica();
    }
  }

  private void exitLater(Running taken) {
    Thread exit =
        new Thread(
            () -> {
              try {
                Thread.sleep(SERVES_MS);
                taken.replica().close();
                record.line("%s exits", taken.id());
              } catch (InterruptedException | IOException ex) {
                record.line("%s does not exit: %s", taken.id(), ex);
              }
            });
    exit.setDaemon(true);
    exit.start();
  }

  /** Clients of the machines that run undisturbed. */
  private List<Thread> startClients() {
    List<Thread> clients = new ArrayList<>();
    for (int number = 0; number < (ENTRIES - RESTARTED) * CLIENTS_PER_ENTRY; number++) {
      Entry entry = fleet.entries.get(number % (ENTRIES - RESTARTED));
      String name = entry.name() + "-" + number;
      Thread client = new Thread(() -> sendUntilEnd(entry, name));
      client.start();
      clients.add(client);
    }
    return clients;
  }

  private void sendUntilEnd(Entry entry, String name) {
    Client client = new Client(entry, 5_000);
    for (int number = 0; !ended; number++) {
      String id = name + "-" + number;
      try {
        sent.incrementAndGet();
        Client.Answer answer =
            client.call(
                "POST",
                "/once/drain",
                id,
                "Deadline-Ms: 3000\r\nAuthorization: Token " + Fleet.KEY + "\r\n",
                new byte[100]);
        if (!answer.isSuccess()) {
          lost.incrementAndGet();
          record.line("client gets %d for %s", answer.status(), id);
        }
        Thread.sleep(CLIENT_PAUSE_MS);
      } catch (IOException ex) {
        lost.incrementAndGet();
        record.line("client gets no answer for %s: %s", id, ex.getMessage());
      } catch (InterruptedException ex) {
        return;
      }
    }
  }

  /** DRAIN: a request reaches a replica later than drainMs after it was acknowledged as gone. */
  private boolean judge() {
    int total = late.values().stream().mapToInt(AtomicInteger::get).sum();
    new TreeMap<>(late).forEach((id, count) -> record.line("%s: %s requests too late", id, count));
    String summary =
        String.format(
            "requests sent: %d, refused or lost: %d, replicas taken away: %d, of these with late"
                + " requests: %d, late requests: %d",
            sent.get(), lost.get(), removedMs.size(), late.size(), total);
    record.line("%s", summary);
    System.out.println(summary);
    return total > 0;
  }
}
