package io.mothrill.core.request;

import io.mothrill.core.budget.BillPart;
import java.util.List;

/**
 * What one run owes.
 *
 * @param requestId the run's id
 * @param key the request key
 * @param parts what is owed to each allotment
 */
public record Bill(String requestId, RequestKey key, List<BillPart> parts) {

  /** Takes a copy of the parts. */
  public Bill {
    parts = List.copyOf(parts);
  }

  /**
   * Adds up the parts.
   *
   * @return tokens
   */
  public long tokens() {
    return parts.stream().mapToLong(BillPart::tokens).sum();
  }
}
