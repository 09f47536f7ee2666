package io.mothrill.wire.syntax;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import java.util.List;

/** The transfer codings of a message, which decide where it ends. */
public final class TransferCodings {

  private TransferCodings() {}

  /**
   * Checks that a message has no transfer coding but chunks. Programs that know different codings
   * disagree about where a message with any other one ends.
   *
   * @param message the head of the message
   * @throws IllegalArgumentException if it has another coding
   */
  public static void check(HttpMessage message) {
    List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean known =
        codings.isEmpty()
            || codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip());
    if (!known) {
      throw new IllegalArgumentException("unknown transfer coding");
    }
  }
}
