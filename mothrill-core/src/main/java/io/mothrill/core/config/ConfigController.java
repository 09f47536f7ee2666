package io.mothrill.core.config;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;

/**
 * Keeps the published configuration up to date; its revision never decreases.
 *
 * <p>It polls the platform's table for later changes, and reads from another source when that
 * source is known to be ahead. Instances that cannot reach the platform therefore follow their
 * peers.
 */
public final class ConfigController {

  private static final int CHANGES_PER_READ = 200;
  private static final int MAX_RECENT_CHANGES = 2_000;

  private final PublishedValue<ConfigSnapshot> config;
  private final ConfigStore store;
  private final AtomicBoolean polling = new AtomicBoolean();
  private final AtomicReference<List<Change>> recent = new AtomicReference<>(List.of());

  /**
   * Creates the controller and starts polling.
   *
   * @param config receives the published configuration
   * @param store the platform's table
   * @param timers the timer service
   * @param pollMs the poll interval in milliseconds
   * @param shouldPoll whether this instance polls in this interval; in a large fleet only some
   *     instances do, and the others learn of a later revision from their peers
   */
  public ConfigController(
      PublishedValue<ConfigSnapshot> config,
      ConfigStore store,
      Timers timers,
      long pollMs,
      BooleanSupplier shouldPoll) {
    this.config = config;
    this.store = store;
    timers.every(pollMs, () -> pollIfDue(shouldPoll));
    timers.after(0, this::poll);
  }

  private void pollIfDue(BooleanSupplier shouldPoll) {
    if (config.read().revision() == 0 || shouldPoll.getAsBoolean()) {
      poll();
    }
  }

  /** Polls the platform's table for later changes, unless a poll is still in progress. */
  public void poll() {
    if (!polling.compareAndSet(false, true)) {
      return;
    }
    boolean first = config.read().revision() == 0;
    CompletableFuture<Void> read =
        first ? store.load().thenAccept(this::applyChanges) : readAfter(store);
    var unused =
        read.whenComplete(
            (ignored, error) -> {
              polling.set(false);
              if (error != null) {
                Logger.debug("configuration poll failed: {}", error.getMessage());
              }
            });
  }

  /**
   * Reads later changes from a source that is ahead.
   *
   * @param source a peer with a later revision
   */
  public void catchUp(ChangeSource source) {
    var unused = readAfter(source);
  }

  private CompletableFuture<Void> readAfter(ChangeSource source) {
    long currentRevision = config.read().revision();
    return source
        .changesAfter(currentRevision, CHANGES_PER_READ)
        .thenCompose(
            changes -> {
              applyChanges(changes);
              return changes.size() < CHANGES_PER_READ
                  ? CompletableFuture.completedFuture(null)
                  : readAfter(source);
            });
  }

  private void applyChanges(ConfigSnapshot loaded) {
    config.update(current -> loaded.revision() > current.revision() ? loaded : current);
  }

  /**
   * Applies changes that follow the current revision.
   *
   * <p>A list with a gap is ignored: applying it would lose the missing change permanently, because
   * later reads start after the highest applied revision.
   *
   * @param changes the changes, ordered by revision
   */
  public void applyChanges(List<Change> changes) {
    config.update(current -> isGapless(current, changes) ? current.with(changes) : current);
    recent.updateAndGet(before -> appendRecent(before, changes));
  }

  /**
   * Keeps the most recent changes for peers that cannot reach the platform. Earlier changes are
   * dropped when a gap follows them.
   */
  private static List<Change> appendRecent(List<Change> earlier, List<Change> changes) {
    List<Change> kept = new ArrayList<>(earlier);
    for (Change change : changes) {
      long last = kept.isEmpty() ? change.revision() - 1 : kept.get(kept.size() - 1).revision();
      if (change.revision() > last + 1) {
        kept.clear();
      }
      if (kept.isEmpty() || change.revision() == last + 1) {
        kept.add(change);
      }
    }
    return List.copyOf(kept.subList(Math.max(0, kept.size() - MAX_RECENT_CHANGES), kept.size()));
  }

  /**
   * Returns the changes that follow a revision, if they are still kept here.
   *
   * @param revision the last revision that the requester has
   * @param limit the maximum number of changes
   * @return the changes, without gaps; empty when the next one is not kept
   */
  public List<Change> recentAfter(long revision, int limit) {
    List<Change> newer =
        recent.get().stream().filter(change -> change.revision() > revision).limit(limit).toList();
    boolean follows = !newer.isEmpty() && newer.get(0).revision() == revision + 1;
    return follows ? newer : List.of();
  }

  private static boolean isGapless(ConfigSnapshot current, List<Change> changes) {
    long next = current.revision() + 1;
    for (Change change : changes) {
      if (change.revision() > next) {
        return false;
      }
      next = Math.max(next, change.revision() + 1);
    }
    return true;
  }
}
