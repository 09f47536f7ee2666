package io.mothrill.core.budget;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Tokens set aside for one request, at most as many as it can use.
 *
 * <pre>{@code
 * List<BillPart> owed = reservation.settle(usedTokens);   // once; the rest goes back
 * }</pre>
 */
public final class Reservation {

  private final List<Part> parts;
  private final Runnable onSettled;
  private final Queue<Part> owed = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean settled = new AtomicBoolean();

  Reservation(List<Part> parts, Runnable onSettled) {
    this.parts = List.copyOf(parts);
    this.onSettled = onSettled;
  }

  record Part(TokenPool pool, long tokens) {}

  /**
   * Says how much was set aside.
   *
   * @return tokens
   */
  public long tokens() {
    return parts.stream().mapToLong(Part::tokens).sum();
  }

  /**
   * Ends the reservation: what was used is owed, the rest goes back.
   *
   * <p>Usage beyond the reservation is not billed: nothing was set aside for it, so billing it
   * could overspend the budget. The request path cuts such an answer off.
   *
   * <p>Two pools may hold slices of one allotment. They owe one part together, because the ledger
   * takes one bill per run and allotment.
   *
   * @param usedTokens what the request used
   * @return what is owed to each allotment; empty when nothing is, or when settled before
   */
  public List<BillPart> settle(long usedTokens) {
    if (!settled.compareAndSet(false, true)) {
      return List.of();
    }
    Map<AllotmentId, Long> bill = new LinkedHashMap<>();
    long remainingTokens = usedTokens;
    for (Part part : parts) {
      long owedTokens = Math.min(remainingTokens, part.tokens());
      remainingTokens -= owedTokens;
      part.pool().put(part.tokens() - owedTokens);
      part.pool().endUse();
      if (owedTokens > 0) {
        bill.merge(part.pool().allotment(), owedTokens, Long::sum);
        owed.add(new Part(part.pool(), owedTokens));
      }
    }
    onSettled.run();
    return bill.entrySet().stream()
        .map(entry -> new BillPart(entry.getKey(), entry.getValue()))
        .toList();
  }

  /** Puts back what {@link #settle} found owed, for a run whose bill does not count. */
  public void cancelBill() {
    for (Part part = owed.poll(); part != null; part = owed.poll()) {
      part.pool().put(part.tokens());
    }
  }

  /** Ends the reservation of a request that did not run. */
  public void release() {
    var unused = settle(0);
  }
}
