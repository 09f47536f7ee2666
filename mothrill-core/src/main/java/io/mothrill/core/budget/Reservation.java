package io.mothrill.core.budget;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The tokens reserved for one request, at most as many as it can use.
 *
 * <pre>{@code
 * List<BillPart> owed = reservation.settle(usedTokens);   // once; unused tokens are returned
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
   * Returns the number of reserved tokens.
   *
   * @return tokens
   */
  public long tokens() {
    return parts.stream().mapToLong(Part::tokens).sum();
  }

  /**
   * Settles the reservation: the used tokens are owed, the unused ones are returned to their pools.
   *
   * <p>Usage beyond the reservation is not billed. No tokens were reserved for it, so billing it
   * could overspend the budget; the request path truncates such an answer.
   *
   * <p>Two pools may hold slices of one allotment. They are combined into one part of the bill,
   * because the ledger accepts one bill per run and allotment.
   *
   * @param usedTokens the number of tokens that the request used
   * @return the parts owed to each allotment; empty when nothing is owed or the reservation was
   *     already settled
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

  /**
   * Returns the tokens that {@link #settle} found owed to their pools, for a run whose bill does
   * not count.
   */
  public void cancelBill() {
    for (Part part = owed.poll(); part != null; part = owed.poll()) {
      part.pool().put(part.tokens());
    }
  }

  /** Releases all tokens of a request that did not run. */
  public void release() {
    var unused = settle(0);
  }
}
