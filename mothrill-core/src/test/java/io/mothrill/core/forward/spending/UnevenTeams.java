package io.mothrill.core.forward.spending;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.ToIntFunction;
import java.util.stream.IntStream;

/**
 * Teams of uneven size: the second sends half as much as the first, the third a third, and so on.
 */
final class UnevenTeams {

  private final double[] shares;

  UnevenTeams(int count) {
    double sum = IntStream.rangeClosed(1, count).mapToDouble(rank -> 1.0 / rank).sum();
    this.shares = IntStream.rangeClosed(1, count).mapToDouble(rank -> 1.0 / rank / sum).toArray();
  }

  List<String> names() {
    return IntStream.range(0, shares.length).mapToObj(number -> "team-" + number).toList();
  }

  /** Returns budgets in proportion to the load of the teams. */
  List<Long> budgets(double tokens) {
    return Arrays.stream(shares).mapToObj(share -> Math.round(tokens * share)).toList();
  }

  /** Draws the index of a team. */
  int draw(Random random) {
    double drawn = random.nextDouble();
    for (int team = 0; team < shares.length - 1; team++) {
      drawn -= shares[team];
      if (drawn < 0) {
        return team;
      }
    }
    return shares.length - 1;
  }

  /** Draws a kind of request, weighted by its rate per second. */
  static <K> K drawKind(Random random, List<K> kinds, ToIntFunction<K> perS) {
    int drawn = random.nextInt(kinds.stream().mapToInt(perS).sum());
    for (K kind : kinds) {
      drawn -= perS.applyAsInt(kind);
      if (drawn < 0) {
        return kind;
      }
    }
    return kinds.get(0);
  }
}
