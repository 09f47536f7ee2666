package io.mothrill.wire.response;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Checks whether the head of a response may be joined from the beginning of one response and the
 * head of another one.
 *
 * <p>Such a head contains the status line of the second response. A header of a sound upstream may
 * quote a status line as well. The first response on a connection has no predecessor, so there it
 * is taken for a quotation unless headers are repeated too.
 */
public final class ResponseHeadCheck {

  private static final Set<HttpVersion> VERSIONS =
      Set.of(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1);

  /** Headers of which one response may have several. */
  private static final Set<String> REPEATABLE =
      Set.of("set-cookie", "via", "warning", "link", "vary", "www-authenticate", "cache-control");

  /** What a head may be. */
  public enum Result {
    /** The head of one response. */
    SINGLE,
    /** The head of one response that quotes a status line. */
    QUOTES_STATUS_LINE,
    /** Joined from two responses, or not distinguishable from such a head. */
    JOINED
  }

  private ResponseHeadCheck() {}

  /**
   * Checks a head.
   *
   * @param head the head
   * @param firstOnConnection true if no response precedes it on its connection
   * @return what the head may be
   */
  public static Result check(HttpResponse head, boolean firstOnConnection) {
    if (!VERSIONS.contains(head.protocolVersion())
        || StatusLineSearch.isIn(head.status().reasonPhrase())) {
      return Result.JOINED;
    }
    boolean quoted =
        head.headers().entries().stream().map(Map.Entry::getValue).anyMatch(StatusLineSearch::isIn);
    if (!quoted) {
      return Result.SINGLE;
    }
    return firstOnConnection && !hasRepeatedHeader(head.headers())
        ? Result.QUOTES_STATUS_LINE
        : Result.JOINED;
  }

  private static boolean hasRepeatedHeader(HttpHeaders headers) {
    return headers.entries().stream()
        .map(entry -> entry.getKey().toLowerCase(Locale.ROOT))
        .filter(name -> !REPEATABLE.contains(name))
        .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()))
        .values()
        .stream()
        .anyMatch(count -> count > 1);
  }
}
