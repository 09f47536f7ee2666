package io.mothrill.core.config;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A source of accepted changes: the platform's table or a peer. */
public interface ChangeSource {

  /**
   * Reads the changes that follow a revision.
   *
   * @param revision the last revision the caller already has
   * @param limit the maximum number of changes
   * @return the next changes, without gaps; empty when there are none
   */
  CompletableFuture<List<Change>> changesAfter(long revision, int limit);
}
