package io.mothrill.core.peer;

import io.mothrill.core.platform.InstanceRecord;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous hashing: ranks names for a key, with the same result for every instance that knows the
 * same names.
 *
 * <p>When a name is added or removed, only the keys for which it ranks first are reassigned.
 */
public final class RendezvousHash {

  private RendezvousHash() {}

  /** An instance with its score, which is computed once and not for each comparison. */
  private record Scored(InstanceRecord instance, long score) {}

  /**
   * Ranks instances for a key by their ids, so that a replacement keeps the rank of its
   * predecessor.
   *
   * @param key the key
   * @param instances the instances
   * @return the instances, in rank order
   */
  public static List<InstanceRecord> rank(String key, Collection<InstanceRecord> instances) {
    return instances.stream()
        .map(instance -> new Scored(instance, score(key, instance.id())))
        .sorted(
            Comparator.comparingLong(Scored::score).thenComparing(scored -> scored.instance().id()))
        .map(Scored::instance)
        .toList();
  }

  /**
   * Returns the rank of an instance, which is the number of instances that {@link #rank} places
   * before it.
   *
   * @param key the key
   * @param instance the instance whose rank is requested
   * @param others the other instances
   * @return the rank; 0 for the first
   */
  public static int rankOf(String key, InstanceRecord instance, Collection<InstanceRecord> others) {
    long score = score(key, instance.id());
    return (int)
        others.stream()
            .filter(other -> isBefore(score(key, other.id()), other, score, instance))
            .count();
  }

  private static boolean isBefore(
      long otherScore, InstanceRecord other, long score, InstanceRecord instance) {
    return otherScore == score ? other.id().compareTo(instance.id()) < 0 : otherScore < score;
  }

  /**
   * Returns the score of a name for a key. The name with the greatest score is the same at every
   * instance.
   *
   * @param key the key
   * @param name the name
   * @return a number from 0 to 1, uniformly distributed
   */
  public static double normalizedScore(String key, String name) {
    return (score(key, name) >>> 1) / (double) Long.MAX_VALUE;
  }

  private static long score(String key, String name) {
    return MurmurHash3.hash128x64((key + '\n' + name).getBytes(StandardCharsets.UTF_8))[0];
  }
}
