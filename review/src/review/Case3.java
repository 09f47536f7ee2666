package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A part of a prompt crashes replicas; sound requests share the first part of their prompts. */
final class Case3 {

  private static final int ENTRIES = 4;
  private static final int REPLICAS = 18;
  private static final int SLOTS = 16;

  /** After the crash; the platform then has another replica in its place. */
  private static final long RETURN_MS = 3_600;

  private static final long CONTACT_MS = 3_000;
  private static final long FIRST_EVENT_MS = 20;
  private static final long SOUND_PAUSE_MS = 250;
  private static final int SOUND_BEFORE = 30;
  private static final long AFTER_MS = 24_000;
  private static final int DEADLY_IN_A_ROW = 3;

  /** The client's pause after these requests have failed. */
  private static final long PAUSE_MS = 1_000;

  /** Sound requests between two with the part, once some in a row have come. */
  private static final int SOUND_BETWEEN = 3;

  private static final String SHARED_PART = "5c1e07a2:800";
  private static final String DEADLY_PART = "91bd3f06:410";
  private static final String OTHER_FIRST_PART = "a70c4411:800";
  private static final String OTHER_KEY = "key-2";

  private final Record record;
  private final boolean trouble;
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final Map<String, Replica> replicas = new ConcurrentHashMap<>();
  private final List<Long> crashesMs = new CopyOnWriteArrayList<>();
  private final Map<Entry, Client> clients = new HashMap<>();
  private Fleet fleet;
  private int startedCount;
  private long requestNumber = 0x3a90000000000000L;
  private int turn;
  private int soundBefore;
  private int begunBefore;
  private int soundAfter;
  private int begunAfter;
  private int otherAfter;
  private int otherBegunAfter;
  private int deadlySent;

  private Case3(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    boolean broken;
    try (Record record = new Record(Path.of(args[0])); Fleet fleet = new Fleet()) {
      broken = new Case3(record, trouble).play(fleet);
    }
    System.exit(broken ? 1 : 0);
  }

  private boolean play(Fleet deployment) throws Exception {
    fleet = deployment;
    fleet.configure(100_000_000, List.of(OTHER_KEY));
    for (int number = 0; number < REPLICAS; number++) {
      startReplica();
    }
    for (int number = 0; number < ENTRIES; number++) {
      fleet.addEntry().start();
    }
    for (Entry entry : fleet.entries) {
      entry.awaitReady(20_000);
    }
    Thread.sleep(3_500);
    record.line("start: trouble=%s, all machines have been in touch for 3 s", trouble);
    for (int number = 0; number < SOUND_BEFORE; number++) {
      soundBefore++;
      begunBefore += send("sound", Fleet.KEY, SHARED_PART) ? 1 : 0;
      Thread.sleep(SOUND_PAUSE_MS);
    }
    for (int number = 0; number < DEADLY_IN_A_ROW; number++) {
      sendDeadly();
    }
    Thread.sleep(PAUSE_MS);
    long endMs = record.nowMs() + AFTER_MS;
    while (record.nowMs() < endMs) {
      for (int number = 0; number < SOUND_BETWEEN; number++) {
        boolean isCounted = record.nowMs() > lastCrashMs() + 2 * CONTACT_MS;
        boolean begun = send("sound", Fleet.KEY, SHARED_PART);
        boolean otherBegun = send("other", OTHER_KEY, OTHER_FIRST_PART);
        if (isCounted) {
          soundAfter++;
          begunAfter += begun ? 1 : 0;
          otherAfter++;
          otherBegunAfter += otherBegun ? 1 : 0;
        }
        Thread.sleep(SOUND_PAUSE_MS);
      }
      sendDeadly();
    }
    timer.shutdownNow();
    return judge();
  }

  private long lastCrashMs() {
    return crashesMs.isEmpty() ? 0 : crashesMs.get(Math.min(4, crashesMs.size() - 1));
  }

  private synchronized void startReplica() throws IOException {
    String id = "i-" + startedCount++;
    Replica replica = new Replica((head, socket) -> serve(id, head, socket), 0);
    replicas.put(id, replica);
    fleet.register(id, Fleet.ENGINE, replica.address(), "ankara-a", SLOTS, "ready", 1);
  }

  /** Runs a request: its first event comes after a time, or the process ends. */
  private boolean serve(String id, Replica.Head head, Socket socket) throws IOException {
    socket.getInputStream().readNBytes(head.length());
    String request = head.header("Attempt-Id");
    record.line("replica %s runs %s", id, request);
    try {
      Thread.sleep(FIRST_EVENT_MS);
    } catch (InterruptedException ex) {
      return false;
    }
    if (trouble && head.header("Prefix-Hash").contains(DEADLY_PART)) {
      crash(id);
      return false;
    }
    String event = "id: 1\ndata: abcde\n\n";
    socket
        .getOutputStream()
        .write(
            ("HTTP/1.1 200 OK\r\nAttempt-Id: " + request
                    + "\r\nReplica-Signature: " + id + "." + request
                    + "\r\nContent-Type: text/event-stream\r\nContent-Length: " + event.length()
                    + "\r\n\r\n" + event)
                .getBytes(StandardCharsets.ISO_8859_1));
    return true;
  }

  private void crash(String id) throws IOException {
    record.line("replica %s crashes", id);
    crashesMs.add(record.nowMs());
    replicas.remove(id).crash();
    timer.schedule(
        () -> {
          fleet.store.remove("servers", id);
          startReplica();
          return null;
        },
        RETURN_MS,
        TimeUnit.MILLISECONDS);
  }

  private void sendDeadly() {
    deadlySent++;
    send("with the part", Fleet.KEY, SHARED_PART + "," + DEADLY_PART);
  }

  /** Sends a request to the next machine; true if its answer begins. */
  private boolean send(String kind, String key, String sharedParts) {
    Entry entry = fleet.entries.get(turn++ % ENTRIES);
    String id = String.format("%016x", requestNumber++);
    try {
      Client.Answer answer =
          clients
              .computeIfAbsent(entry, to -> new Client(to, 10_000))
              .call(
                  "POST",
                  "/stream/review",
                  id,
                  "Model: m\r\nToken-Usage: 1460,5\r\nPrefix-Hash: " + sharedParts + "," + id
                      + ":250\r\nDeadline-Ms: 12000\r\nAuthorization: Token " + key + "\r\n",
                  new byte[0]);
      record.line(
          "client gets %d for %s (%s) from %s, Retry-After '%s'",
          answer.status(), id, kind, entry.name(), answer.head().header("Retry-After"));
      return answer.isSuccess();
    } catch (IOException ex) {
      record.line("client gets no answer for %s (%s) from %s", id, kind, entry.name());
      return false;
    }
  }

  /**
   * LOST: from 2 x contactMs after the fifth crash, the last if there are fewer, sound requests
   * with the same first part begin less than half as often as outside the disruption.
   */
  private boolean judge() {
    boolean broken =
        soundBefore >= 20
            && soundAfter >= 20
            && 2.0 * begunAfter / soundAfter < 1.0 * begunBefore / soundBefore;
    String summary =
        String.format(
            "replicas crashed: %d, requests with the part: %d, sound requests begun before: %d of %d,"
                + " after: %d of %d, of others: %d of %d%s",
            crashesMs.size(),
            deadlySent,
            begunBefore,
            soundBefore,
            begunAfter,
            soundAfter,
            otherBegunAfter,
            otherAfter,
            broken ? "  BROKEN, LOST" : "");
    record.line("%s", summary);
    System.out.println(summary);
    return broken;
  }
}
