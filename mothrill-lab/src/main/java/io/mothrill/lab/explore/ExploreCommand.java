package io.mothrill.lab.explore;

import io.mothrill.daemon.cli.Command;
import java.util.List;
import java.util.stream.LongStream;
import org.kohsuke.args4j.Option;

/**
 * {@code mothrill lab explore}: injects random faults and prints the seeds that violated an
 * invariant.
 */
public final class ExploreCommand implements Command {

  @Option(name = "--from", metaVar = "SEED", usage = "the first seed (default 1)")
  private long from = 1;

  @Option(name = "--count", metaVar = "N", usage = "how many seeds (default 50)")
  private long count = 50;

  @Option(name = "--steps", metaVar = "N", usage = "steps a run (default 200)")
  private int steps = 200;

  @Option(name = "--mix", metaVar = "MIX", usage = "WITHOUT_DEATHS or WITH_DEATHS (default)")
  private FaultMix mix = FaultMix.WITH_DEATHS;

  @Option(name = "--log", usage = "print the steps of runs that broke something")
  private boolean printLog;

  @Override
  public int run() {
    List<Long> failedSeeds =
        LongStream.range(from, from + count)
            .parallel()
            .filter(this::hasViolations)
            .boxed()
            .toList();
    System.out.println((count - failedSeeds.size()) + " passed, " + failedSeeds.size() + " failed");
    return failedSeeds.isEmpty() ? OK : FAILED;
  }

  private boolean hasViolations(long seed) {
    Exploration exploration = new Exploration(seed, mix);
    List<String> violations = exploration.run(steps);
    if (!violations.isEmpty()) {
      synchronized (this) {
        System.out.println(
            "seed " + seed + ": " + violations.size() + " broken, first " + violations.get(0));
        if (printLog) {
          exploration.log().forEach(System.out::println);
          violations.forEach(System.out::println);
        }
      }
    }
    return !violations.isEmpty();
  }
}
