package io.mothrill.core.forward.prompt;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * How many engines of one failure domain each class of prompts has; immutable.
 *
 * @param counts the number of engines for each class, in the order of the classes
 */
record PoolSizes(List<Integer> counts) {

  /** With fewer engines, a class would have a single engine that all its prompts wait for. */
  static final int MIN_ENGINES = 6;

  /** Part of a pool by which it may be too small or too large before its boundary is moved. */
  private static final double TOLERATED_SHARE = 0.2;

  /**
   * Less than one engine, and more than the rounding of a wanted size, so that a size between two
   * numbers does not change back and forth.
   */
  private static final double TOLERATED_ENGINES = 0.95;

  /**
   * Divides engines in proportion to the shares; each class with demand gets at least one.
   *
   * @param shares the shares, at least one of them above 0
   * @param engineCount the number of engines
   * @return the sizes, which add up to the number of engines
   */
  static PoolSizes divide(DemandShares shares, int engineCount) {
    double[] wanted = wantedSizes(shares, engineCount);
    int[] counts = Arrays.stream(wanted).mapToInt(size -> (int) size).toArray();
    int missing = engineCount - Arrays.stream(counts).sum();
    ToDoubleFunction<PromptClass> remainder = one -> counts[one.ordinal()] - wanted[one.ordinal()];
    Stream.of(PromptClass.values())
        .sorted(Comparator.comparingDouble(remainder))
        .limit(missing)
        .toList()
        .forEach(one -> counts[one.ordinal()]++);
    return new PoolSizes(Arrays.stream(counts).boxed().toList());
  }

  /** Divides engines without rounding; a class whose part is below one engine gets one. */
  private static double[] wantedSizes(DemandShares shares, int engineCount) {
    double[] wanted = new double[PromptClass.COUNT];
    double remainingShare = 1;
    double remainingEngines = engineCount;
    List<PromptClass> smallestFirst =
        Stream.of(PromptClass.values())
            .filter(shares::isDemanded)
            .sorted(Comparator.comparingDouble(shares::of))
            .toList();
    for (PromptClass one : smallestFirst) {
      double part = remainingEngines * Math.min(1, shares.of(one) / remainingShare);
      wanted[one.ordinal()] = Math.max(1, part);
      remainingEngines -= wanted[one.ordinal()];
      remainingShare -= shares.of(one);
    }
    return wanted;
  }

  int of(PromptClass promptClass) {
    return counts.get(promptClass.ordinal());
  }

  /** Checks whether other shares differ enough from these sizes to move a boundary. */
  boolean isOutdated(DemandShares shares) {
    int engineCount = counts.stream().mapToInt(Integer::intValue).sum();
    double[] wanted = wantedSizes(shares, engineCount);
    return Stream.of(PromptClass.values()).anyMatch(one -> differs(of(one), wanted[one.ordinal()]));
  }

  private static boolean differs(int inUse, double wanted) {
    boolean demandChanged = (inUse == 0) != (wanted == 0);
    double tolerated = Math.max(TOLERATED_ENGINES, TOLERATED_SHARE * inUse);
    return demandChanged || Math.abs(wanted - inUse) > tolerated;
  }
}
