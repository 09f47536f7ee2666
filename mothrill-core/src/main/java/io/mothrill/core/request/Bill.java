package io.mothrill.core.request;

import io.mothrill.core.budget.BillPart;
import java.util.List;

/**
 * The tokens that one run owes.
 *
 * @param requestId the id of the run
 * @param key the request key
 * @param parts the parts owed to each allotment
 */
public record Bill(String requestId, RequestKey key, List<BillPart> parts) {

  /** Copies the parts. */
  public Bill {
    parts = List.copyOf(parts);
  }

  /**
   * Returns the sum of the parts.
   *
   * @return tokens
   */
  public long tokens() {
    return parts.stream().mapToLong(BillPart::tokens).sum();
  }
}
