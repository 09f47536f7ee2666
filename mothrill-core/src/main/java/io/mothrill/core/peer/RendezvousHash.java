package io.mothrill.core.peer;

import io.mothrill.core.platform.InstanceRecord;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Ranks names for a key, so that everyone who knows the same names ranks them alike.
 *
 * <p>When a name comes or goes, only the keys that it ranks first for change hands.
 */
public final class RendezvousHash {

  private RendezvousHash() {}

  /**
   * Ranks instances for a key by their names, so a replacement keeps its predecessor's place.
   *
   * @param key the key
   * @param instances the instances
   * @return the instances, first rank first
   */
  public static List<InstanceRecord> rank(String key, Collection<InstanceRecord> instances) {
    return instances.stream()
        .sorted(
            Comparator.comparingLong((InstanceRecord instance) -> score(key, instance.id()))
                .thenComparing(InstanceRecord::id))
        .toList();
  }

  /**
   * Counts the instances that {@link #rank} places before one.
   *
   * @param key the key
   * @param instance the instance whose place is asked for
   * @param others the instances beside it
   * @return its place; 0 for the first
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
   * Places a name for a key on a scale; the name with the greatest share is the same everywhere.
   *
   * @param key the key
   * @param name the name
   * @return from 0 to 1, evenly spread
   */
  public static double normalizedScore(String key, String name) {
    return (score(key, name) >>> 1) / (double) Long.MAX_VALUE;
  }

  private static long score(String key, String name) {
    return MurmurHash3.hash128x64((key + '\n' + name).getBytes(StandardCharsets.UTF_8))[0];
  }
}
