package io.mothrill.core.config;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Somewhere accepted changes can be read from: the platform's table, or a peer. */
public interface ChangeSource {

  /**
   * Reads the changes that follow a revision.
   *
   * @param revision the last revision already held
   * @param limit at most this many
   * @return the next changes without a gap; empty when there are none
   */
  CompletableFuture<List<Change>> changesAfter(long revision, int limit);
}
