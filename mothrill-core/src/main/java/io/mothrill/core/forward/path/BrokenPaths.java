package io.mothrill.core.forward.path;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The upstreams that other instances reach while this one does not; thread-safe. */
public final class BrokenPaths {

  private final Map<String, PathFailure> failures = new ConcurrentHashMap<>();

  /**
   * Adds a path.
   *
   * @param upstream the upstream at its end
   * @param failure how connections fail on it
   * @return true if it was not known to be broken
   */
  boolean add(RegisteredUpstream upstream, PathFailure failure) {
    return failures.put(upstream.incarnation(), failure) == null;
  }

  /**
   * Removes a path that works again.
   *
   * @param upstream the upstream at its end
   * @return true if it was known to be broken
   */
  boolean remove(RegisteredUpstream upstream) {
    return failures.remove(upstream.incarnation()) != null;
  }

  void retain(UpstreamList list) {
    failures.keySet().removeIf(incarnation -> !list.containsIncarnation(incarnation));
  }

  /**
   * Checks whether connections to an upstream need another instance.
   *
   * @param upstream the upstream
   * @return true if its path is broken
   */
  public boolean contains(RegisteredUpstream upstream) {
    return failures.containsKey(upstream.incarnation());
  }

  /**
   * Checks whether open connections on a path are dead as well.
   *
   * @param upstream the upstream
   * @return false if new connections are refused only, which says nothing about open ones
   */
  public boolean isSilent(RegisteredUpstream upstream) {
    PathFailure failure = failures.get(upstream.incarnation());
    return failure != null && failure != PathFailure.REFUSED;
  }

  /**
   * Checks whether there is any.
   *
   * @return true if all paths work as far as is known
   */
  public boolean isEmpty() {
    return failures.isEmpty();
  }

  /**
   * Returns the number of broken paths.
   *
   * @return a count
   */
  public int size() {
    return failures.size();
  }

  List<RegisteredUpstream> all(UpstreamList list) {
    return failures.keySet().stream()
        .flatMap(incarnation -> list.findIncarnation(incarnation).stream())
        .toList();
  }
}
