package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

/** A tenant's budget is spent, and its clients go on asking, at machines with two cores. */
final class BudgetTrial {

  private static final int ENTRIES = 16;
  private static final long PREPAID = 1_000_000;
  private static final int FIRST_TOKENS = 20_000;
  private static final int NEXT_TOKENS = 54_600;
  private static final int OUTPUT_TOKENS = 5;
  private static final List<String> OTHER_KEYS =
      IntStream.rangeClosed(2, 10).mapToObj(number -> "key-" + number).toList();
  private static final long ASKING_MS = 75_000;
  private static final int CLIENTS_PER_ENTRY = 7;

  /** 210 requests a second at each machine: 7.5 times the 28 that the sheet has for a machine. */
  private static final long PAUSE_NANOS = 33_333_000;

  /** With the pause below, about 28 requests a second at each machine, as on the sheet. */
  private static final int OTHERS_PER_ENTRY = 3;

  private static final long OTHERS_PAUSE_NANOS = 100_000_000;

  private final Record record;
  private final AtomicLong requestNumber = new AtomicLong(0x51c0000000000000L);
  private final AtomicLong deliveredTokens = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final AtomicLong servedLate = new AtomicLong();
  private final AtomicLong failed = new AtomicLong();
  private final AtomicLong others = new AtomicLong();

  private BudgetTrial(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Entry.cores = trouble ? 2 : 1;
    Entry.memoryMb = 682;
    boolean broken;
    try (Record record = new Record(Path.of(args[0])); Fleet fleet = new Fleet()) {
      record.line("start: trouble=%s, cores=%d, prepaid=%d", trouble, Entry.cores, PREPAID);
      broken = new BudgetTrial(record).play(fleet);
    }
    System.exit(broken ? 1 : 0);
  }

  private boolean play(Fleet fleet) throws Exception {
    fleet.configure(PREPAID, OTHER_KEYS);
    Replica replica = new Replica(BudgetTrial::stream, 0);
    fleet.register("i-1", Fleet.ENGINE, replica.address(), "ankara-a", 64, "ready", 1);
    for (int number = 0; number < ENTRIES; number++) {
      fleet.addEntry().start();
    }
    for (Entry entry : fleet.entries) {
      entry.awaitReady(20_000);
    }
    Thread.sleep(3_500);
    spend(fleet);
    ask(fleet);
    return judge();
  }

  /** A stream of one event with all output tokens. */
  private static boolean stream(Replica.Head head, Socket socket) throws IOException {
    socket.getInputStream().readNBytes(head.length());
    String event = "id: 1\ndata: abcde\n\n";
    socket
        .getOutputStream()
        .write(
            ("HTTP/1.1 200 OK\r\nAttempt-Id: " + head.header("Attempt-Id")
                    + "\r\nReplica-Signature: i-1." + head.header("Attempt-Id")
                    + "\r\nContent-Type: text/event-stream\r\nContent-Length: " + event.length()
                    + "\r\n\r\n" + event)
                .getBytes(StandardCharsets.ISO_8859_1));
    return true;
  }

  /** Spends the budget until requests of the first size don't fit any more. */
  private void spend(Fleet fleet) throws InterruptedException {
    int refusals = 0;
    for (int number = 0; refusals < 2 * ENTRIES; number++) {
      Client client = new Client(fleet.entries.get(number % ENTRIES), 10_000);
      refusals = call(client, Fleet.KEY, FIRST_TOKENS, true) == 200 ? 0 : refusals + 1;
      if (refusals > 0) {
        Thread.sleep(20);
      }
      if (number > 500) {
        throw new IllegalStateException("the budget is never spent");
      }
    }
    record.line("the budget is spent: delivered %d tokens", deliveredTokens.get());
  }

  private int call(Client client, String key, int tokens, boolean isCounted) {
    String id = String.format("%016x", requestNumber.getAndIncrement());
    try {
      Client.Answer answer =
          client.call(
              "POST",
              "/stream/review",
              id,
              "Model: m\r\nToken-Usage: " + tokens + "," + OUTPUT_TOKENS
                  + "\r\nPrefix-Hash: 5c1e07a2:119," + id + ":79\r\nDeadline-Ms: 12000\r\n"
                  + "Authorization: Token " + key + "\r\n",
              new byte[0]);
      if (isCounted && answer.isSuccess()) {
        long total = deliveredTokens.addAndGet(tokens + OUTPUT_TOKENS);
        record.line(
            "client gets 200 for %s: %d tokens, total %d of %d%s",
            id, tokens + OUTPUT_TOKENS, total, PREPAID, total > PREPAID ? "  BROKEN, BUDGET" : "");
      }
      return answer.status();
    } catch (IOException ex) {
      failed.incrementAndGet();
      return 0;
    }
  }

  /** Clients of the tenant go on; other tenants, whose budgets are large, are served. */
  private void ask(Fleet fleet) throws InterruptedException {
    long endNanos = System.nanoTime() + ASKING_MS * 1_000_000;
    List<Thread> threads = new ArrayList<>();
    for (Entry entry : fleet.entries) {
      for (int number = 0; number < CLIENTS_PER_ENTRY; number++) {
        threads.add(new Thread(() -> askUntil(entry, endNanos)));
      }
      for (int number = 0; number < OTHERS_PER_ENTRY; number++) {
        threads.add(new Thread(() -> useOtherUntil(entry, endNanos)));
      }
    }
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private void askUntil(Entry entry, long endNanos) {
    Client client = new Client(entry, 10_000);
    long dueNanos = System.nanoTime();
    while (System.nanoTime() < endNanos) {
      int status = call(client, Fleet.KEY, NEXT_TOKENS, true);
      if (status == 200) {
        servedLate.incrementAndGet();
      } else if (status == 402) {
        refused.incrementAndGet();
      }
      dueNanos += PAUSE_NANOS;
      LockSupport.parkNanos(dueNanos - System.nanoTime());
    }
  }

  private void useOtherUntil(Entry entry, long endNanos) {
    Random random = new Random(endNanos);
    Client client = new Client(entry, 10_000);
    while (System.nanoTime() < endNanos) {
      String key = OTHER_KEYS.get(random.nextInt(OTHER_KEYS.size()));
      int tokens = (int) Math.min(NEXT_TOKENS, 3_600 * Math.exp(1.1 * random.nextGaussian()));
      if (call(client, key, tokens, false) == 200) {
        others.incrementAndGet();
      }
      LockSupport.parkNanos(OTHERS_PAUSE_NANOS);
    }
  }

  /** BUDGET: a tenant gets more than its prepaid. */
  private boolean judge() {
    String summary =
        String.format(
            "requests run after the budget was spent: %d, refused 402: %d, failed: %d, of others: %d,"
                + " delivered: %d of %d tokens",
            servedLate.get(),
            refused.get(),
            failed.get(),
            others.get(),
            deliveredTokens.get(),
            PREPAID);
    record.line("%s", summary);
    System.out.println(summary);
    return deliveredTokens.get() > PREPAID;
  }
}
