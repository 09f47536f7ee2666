package io.mothrill.core.forward.upstream;

import io.mothrill.core.forward.request.Prompt;
import java.util.Optional;
import java.util.Set;

/**
 * What a choice of an upstream is made for.
 *
 * @param service the service that the request goes to
 * @param aimMs the time to the answer, or to a stream's first event, that callers hope for
 * @param prompt what is known of its prompt; empty for plain requests
 * @param tried the starts of upstreams that it was already offered to
 */
public record UpstreamQuery(
    String service, long aimMs, Optional<Prompt> prompt, Set<String> tried) {

  /** Takes a copy of the names. */
  public UpstreamQuery {
    tried = Set.copyOf(tried);
  }
}
