package io.mothrill.core.forward.answer;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What an upstream says of its own state in an answer.
 *
 * @param warmUpLeftMs how much longer it warms up, if it says so
 * @param limitPerS the requests a second that it takes from all instances together; empty when it
 *     names no limit
 */
public record SelfReport(OptionalLong warmUpLeftMs, OptionalDouble limitPerS) {

  private static final SelfReport NOTHING =
      new SelfReport(OptionalLong.empty(), OptionalDouble.empty());

  /**
   * Gives the report of an upstream that says nothing of itself.
   *
   * @return a report without any field
   */
  public static SelfReport nothing() {
    return NOTHING;
  }
}
