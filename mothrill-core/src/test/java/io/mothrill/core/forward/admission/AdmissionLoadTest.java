package io.mothrill.core.forward.admission;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class AdmissionLoadTest {
  private static final double CAPACITY_PER_S = 24 / 0.057;

  static AdmissionSimulation overload(int instances, boolean active, long seed) {
    AdmissionSimulation simulation = new AdmissionSimulation(instances, active, seed);
    List<String> teams = List.of("a", "b", "c", "large");
    teams.forEach(team -> simulation.offer(team, 0.2 * CAPACITY_PER_S, 1_000));
    simulation.timers.advanceMs(1_000);
    teams.forEach(
        team -> simulation.offer(team, (team.equals("large") ? 1.4 : 0.2) * CAPACITY_PER_S, 3_000));
    simulation.timers.advanceMs(5_000);
    return simulation;
  }

  @Test
  void trial() {
    for (int n : new int[] {1, 6, 25, 88}) {
      for (boolean active : new boolean[] {false, true}) {
        AdmissionSimulation s = overload(n, active, 7);
        Stream.of("a", "b", "c", "large")
            .forEach(
                t ->
                    System.out.printf(
                        "%s %.3f ", t, s.servedShare(c -> c.team.equals(t) && c.startMs >= 1000)));
        long served = s.calls.stream().filter(c -> c.startMs >= 1000 && c.isServed()).count();
        long timely =
            s.calls.stream()
                .filter(c -> c.startMs >= 1000 && c.isServed() && c.tookMs <= 145)
                .count();
        int[] buckets = new int[300];
        s.returnsMs.stream().filter(t -> t < 6000).forEach(t -> buckets[(int) (t / 20)]++);
        System.out.printf(
            "| n=%d active=%s urgent %.3f other %.3f served %d timely %d cap %d returns %d max/20ms %d counts %s limited %d turned %d%n",
            n,
            active,
            s.servedShare(c -> c.priority == 0 && c.startMs >= 1000),
            s.servedShare(c -> c.priority != 0 && c.startMs >= 1000),
            served,
            timely,
            (int) (3 * CAPACITY_PER_S),
            s.returnsMs.size(),
            IntStream.of(buckets).max().getAsInt(),
            s.counts(),
            s.limitedInstanceCount(),
            s.turnedAwayCount);
      }
    }
  }
}
