package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A replica crashes while it sends an answer without a length, before it has read the request. */
final class Case2 {

  private static final int REQUESTS = 6;
  private static final int REPLICAS = 6;
  private static final int BODY_BYTES = 4_194_304;
  private static final int RECEIVE_BYTES = 65_536;

  /** Three heartbeats; the platform removes the entry of a replica that is silent for so long. */
  private static final long LAPSE_MS = 3_600;

  private final Record record;
  private final boolean trouble;
  private final List<Running> replicas = new ArrayList<>();
  private final BlockingQueue<Running> began = new LinkedBlockingQueue<>();
  private int startedCount;
  private int truncated;
  private int whole;
  private int failed;

  private Case2(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    boolean broken;
    try (Record record = new Record(Path.of(args[0])); Fleet fleet = new Fleet()) {
      broken = new Case2(record, trouble).play(fleet);
    }
    System.exit(broken ? 1 : 0);
  }

  /** The process of one replica. */
  private final class Running implements AutoCloseable {
    private final String id;
    private final Process process;
    private final String address;

    Running(String id) throws IOException {
      this.id = id;
      this.process =
          new ProcessBuilder(
                  "java",
                  "-Xmx32m",
                  "-XX:+UseSerialGC",
                  "-cp",
                  System.getProperty("java.class.path"),
                  "review.ReplicaProcess",
                  Integer.toString(RECEIVE_BYTES))
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start();
      Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
      BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream()));
      this.address = lines.readLine().split(" ")[1];
      Thread reader = new Thread(() -> follow(lines));
      reader.setDaemon(true);
      reader.start();
    }

    private void follow(BufferedReader lines) {
      lines
          .lines()
          .forEach(
              line -> {
                record.line("replica %s %s", id, line);
                if (line.startsWith("began")) {
                  began.add(this);
                }
              });
    }

    @Override
    public void close() throws InterruptedException {
      process.destroyForcibly().waitFor();
    }
  }

  private boolean play(Fleet fleet) throws Exception {
    fleet.configure(1_000_000);
    for (int number = 0; number < REPLICAS; number++) {
      startReplica(fleet);
    }
    Entry entry = fleet.addEntry();
    entry.start();
    entry.awaitReady(20_000);
    Thread.sleep(3_500);
    record.line("start: trouble=%s, the machine has been in touch for 3 s", trouble);
    for (int number = 0; number < REQUESTS; number++) {
      request(entry, fleet, String.format("%016x", 0x7d20000000000000L + number));
    }
    for (Running replica : replicas) {
      replica.close();
    }
    String summary =
        String.format(
            "requests run: %d, whole answers: %d, failures: %d, truncated answers that look whole: %d",
            REQUESTS, whole, failed, truncated);
    record.line("%s", summary);
    System.out.println(summary);
    return truncated > 0;
  }

  private void startReplica(Fleet fleet) throws IOException {
    Running replica = new Running("i-" + startedCount++);
    replicas.add(replica);
    fleet.register(replica.id, Fleet.PLAIN, replica.address, "ankara-a", 6, "ready", 1);
  }

  /** Kills the replica that has begun to answer, if there is trouble. */
  private void crashAnswering() {
    try {
      Running replica = began.poll(8, TimeUnit.SECONDS);
      if (trouble && replica != null) {
        Thread.sleep(300);
        record.line("replica %s is killed (SIGKILL)", replica.id);
        replica.close();
      }
    } catch (InterruptedException ex) {
      Thread.currentThread().interrupt();
    }
  }

  /** Replaces the replica that was killed; its entry lapses later. */
  private void replaceKilled(Fleet fleet) throws Exception {
    List<Running> killed =
        replicas.stream().filter(replica -> !replica.process.isAlive()).toList();
    Thread.sleep(LAPSE_MS);
    for (Running replica : killed) {
      fleet.store.remove("servers", replica.id);
      replicas.remove(replica);
      startReplica(fleet);
    }
    Thread.sleep(1_500);
  }

  private void request(Entry entry, Fleet fleet, String id) throws Exception {
    Thread killer = new Thread(this::crashAnswering);
    killer.start();
    record.line("client sends %s with %d bytes", id, BODY_BYTES);
    try (Client client = new Client(entry, 13_000)) {
      Client.Answer answer =
          client.call(
              "POST",
              "/long/upload",
              id,
              "Deadline-Ms: 12000\r\nAuthorization: Token " + Fleet.KEY + "\r\n",
              new byte[BODY_BYTES]);
      judge(id, answer);
    } catch (IOException ex) {
      failed++;
      record.line("client gets no answer for %s: %s", id, ex.getMessage());
    }
    killer.join();
    replaceKilled(fleet);
  }

  /** MIXED: a success with a body that isn't the replica's whole body. */
  private void judge(String id, Client.Answer answer) {
    record.line(
        "client gets %d for %s: signature '%s', %d bytes, length stated %s, complete %s",
        answer.status(),
        id,
        answer.head().header("Replica-Signature"),
        answer.body().length,
        answer.head().header("Content-Length"),
        answer.complete());
    if (!answer.isSuccess()) {
      failed++;
    } else if (Arrays.equals(answer.body(), ReplicaProcess.answerTo(id))) {
      whole++;
    } else {
      truncated++;
      record.line(
          "BROKEN, MIXED: %s has %d of the %d bytes of its answer and looks complete",
          id, answer.body().length, ReplicaProcess.ANSWER_BYTES);
    }
  }
}
