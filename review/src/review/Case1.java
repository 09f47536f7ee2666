package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Faulty replicas send the beginning of a rejection after a complete answer. */
final class Case1 {

  private static final int ENTRIES = 2;
  private static final int REPLICAS = 4;
  private static final int FAULTY = 2;
  private static final int SLOTS = 6;
  private static final int QUEUE = 24;
  private static final long WORK_MS = 60;
  private static final int REQUESTS_PER_S = 22;
  private static final int WINDOWS = 4;
  private static final long WINDOW_MS = 5_000;
  private static final long PERIOD_MS = 11_000;

  /** Three in a hundred answers of a faulty replica. */
  private static final int GARBLED_EVERY = 34;

  /** The beginning of the answer with which a full replica sheds a request. */
  private static final String EXTRA = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1";

  private final Record record;
  private final boolean trouble;
  private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
  private final AtomicInteger garbled = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private volatile boolean garbling;

  private Case1(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    boolean broken;
    try (Record record = new Record(Path.of(args[0])); Fleet fleet = new Fleet()) {
      broken = new Case1(record, trouble).play(fleet);
    }
    System.exit(broken ? 1 : 0);
  }

  private boolean play(Fleet fleet) throws Exception {
    fleet.configure(1_000_000);
    for (int number = 0; number < REPLICAS; number++) {
      String id = "i-" + number;
      Replica replica = handler(id, number < FAULTY);
      fleet.register(id, Fleet.PLAIN, replica.address(), "ankara-a", SLOTS, "ready", 1);
    }
    for (int number = 0; number < ENTRIES; number++) {
      fleet.addEntry().start();
    }
    for (Entry entry : fleet.entries) {
      entry.awaitReady(20_000);
    }
    Thread.sleep(3_500);
    record.line("start: trouble=%s, the machines have been in touch for 3 s", trouble);
    send(fleet);
    return judge();
  }

  private Replica handler(String id, boolean faulty) throws IOException {
    AtomicInteger present = new AtomicInteger();
    AtomicInteger count = new AtomicInteger();
    return new Replica(
        (head, socket) -> {
          socket.getInputStream().readNBytes(head.length());
          String request = head.header("Attempt-Id");
          int running = present.incrementAndGet();
          try {
            if (running > SLOTS + QUEUE) {
              write(socket, "503 Service Unavailable", request, "Not-Executed: 1\r\n", "", "");
              return true;
            }
            runs.computeIfAbsent(request, key -> new CopyOnWriteArrayList<>()).add(id);
            record.line("replica %s runs %s", id, request);
            Thread.sleep(WORK_MS);
            boolean spoil =
                faulty && garbling && trouble && count.incrementAndGet() % GARBLED_EVERY == 1;
            if (spoil) {
              garbled.incrementAndGet();
              record.line("replica %s sends extra bytes after its answer to %s", id, request);
            }
            String fields =
                "Replica-Signature: " + id + "." + request + "\r\nReplica-Load: " + running
                    + ",0," + SLOTS + "\r\nKeep-Alive: timeout=5\r\n";
            write(socket, "200 OK", request, fields, "ticket of " + request, spoil ? EXTRA : "");
            return true;
          } catch (InterruptedException ex) {
            return false;
          } finally {
            present.decrementAndGet();
          }
        },
        0);
  }

  private static void write(
      Socket socket, String status, String request, String fields, String body, String extra)
      throws IOException {
    String answer =
        "HTTP/1.1 " + status + "\r\nAttempt-Id: " + request + "\r\n" + fields
            + "Content-Length: " + body.length() + "\r\n\r\n" + body + extra;
    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
  }

  private void send(Fleet fleet) throws InterruptedException {
    ScheduledExecutorService clients = Executors.newScheduledThreadPool(16);
    long beginMs = record.nowMs();
    List<Client> connections = new ArrayList<>();
    AtomicInteger next = new AtomicInteger();
    for (int number = 0; number < 16; number++) {
      connections.add(new Client(fleet.entries.get(number % ENTRIES), 4_000));
    }
    clients.scheduleAtFixedRate(
        () -> {
          int number = next.getAndIncrement();
          Client client = connections.get(number % connections.size());
          clients.execute(() -> request(client, String.format("%016x", 0x9c41d07be0000000L + number)));
        },
        0,
        1_000_000 / REQUESTS_PER_S,
        TimeUnit.MICROSECONDS);
    for (int window = 0; window < WINDOWS; window++) {
      garbling = true;
      Thread.sleep(WINDOW_MS);
      garbling = false;
      Thread.sleep(PERIOD_MS - WINDOW_MS);
    }
    clients.shutdown();
    clients.awaitTermination(6, TimeUnit.SECONDS);
    record.line("end after %d ms", record.nowMs() - beginMs);
  }

  private void request(Client client, String id) {
    synchronized (client) {
      try {
        record.line("client sends %s", id);
        Client.Answer answer =
            client.call(
                "POST",
                "/once/ticket",
                id,
                "Deadline-Ms: 3000\r\nAuthorization: Token " + Fleet.KEY + "\r\n",
                new byte[600]);
        answered.incrementAndGet();
        record.line("client gets %d %s for %s", answer.status(), answer.reason(), id);
      } catch (IOException ex) {
        record.line("client gets no answer for %s: %s", id, ex.getMessage());
      }
    }
  }

  /** TWICE: a request that isn't idempotent runs more than once. */
  private boolean judge() {
    List<String> twice = new ArrayList<>();
    runs.forEach(
        (request, replicas) -> {
          if (replicas.size() > 1) {
            twice.add(request + " at " + replicas);
          }
        });
    twice.sort(null);
    twice.forEach(one -> record.line("BROKEN, TWICE: ran more than once: %s", one));
    String summary =
        String.format(
            "requests run: %d, answered: %d, answers with extra bytes: %d, run more than once: %d",
            runs.size(), answered.get(), garbled.get(), twice.size());
    record.line("%s", summary);
    System.out.println(summary);
    return !twice.isEmpty();
  }
}
