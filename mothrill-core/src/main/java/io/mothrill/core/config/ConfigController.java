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
 * Keeps the blackboard's configuration up to date, upwards only.
 *
 * <p>It asks the platform's table for later changes every poll, and any other source when that
 * source is known to be ahead, so a side that cannot reach the platform follows its peers.
 */
public final class ConfigController {

  private static final int CHANGES_PER_READ = 200;
  private static final int MAX_RECENT_CHANGES = 2_000;

  private final PublishedValue<ConfigSnapshot> section;
  private final ConfigStore store;
  private final AtomicBoolean polling = new AtomicBoolean();
  private final AtomicReference<List<Change>> recent = new AtomicReference<>(List.of());

  /**
   * Creates the controller and starts to poll.
   *
   * @param section where the configuration is published
   * @param store the platform's table
   * @param timers the time
   * @param pollMs milliseconds between two polls
   * @param isTurn whether this instance polls now; in a large fleet only some do each time, and the
   *     others hear of a later revision from their peers
   */
  public ConfigController(
      PublishedValue<ConfigSnapshot> section,
      ConfigStore store,
      Timers timers,
      long pollMs,
      BooleanSupplier isTurn) {
    this.section = section;
    this.store = store;
    timers.every(pollMs, () -> pollInTurn(isTurn));
    timers.after(0, this::poll);
  }

  private void pollInTurn(BooleanSupplier isTurn) {
    if (section.read().revision() == 0 || isTurn.getAsBoolean()) {
      poll();
    }
  }

  /** Asks the platform's table for later changes, unless a poll is still under way. */
  public void poll() {
    if (!polling.compareAndSet(false, true)) {
      return;
    }
    boolean first = section.read().revision() == 0;
    CompletableFuture<Void> read =
        first ? store.load().thenAccept(this::applyChanges) : readAfter(store);
    var unused =
        read.whenComplete(
            (nothing, error) -> {
              polling.set(false);
              if (error != null) {
                Logger.debug("configuration poll failed: {}", error.getMessage());
              }
            });
  }

  /**
   * Reads later changes from a source that is ahead.
   *
   * @param source a peer that has a later revision
   */
  public void catchUp(ChangeSource source) {
    var unused = readAfter(source);
  }

  private CompletableFuture<Void> readAfter(ChangeSource source) {
    long currentRevision = section.read().revision();
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
    section.update(held -> loaded.revision() > held.revision() ? loaded : held);
  }

  /**
   * Takes up changes that follow the held revision.
   *
   * <p>A list with a gap is refused: taking it up would skip a change for good, because later reads
   * start after the highest revision held.
   *
   * @param changes changes in order of revision
   */
  public void applyChanges(List<Change> changes) {
    section.update(held -> isGapless(held, changes) ? held.with(changes) : held);
    recent.updateAndGet(before -> appendRecent(before, changes));
  }

  /** Keeps the last changes for peers that cannot reach the platform; drops all at a gap. */
  private static List<Change> appendRecent(List<Change> before, List<Change> changes) {
    List<Change> kept = new ArrayList<>(before);
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
   * Gives the changes that follow a revision, as far as they are kept here.
   *
   * @param revision the last revision that the asker holds
   * @param limit at most this many
   * @return the changes without a gap; empty when the next one is not kept
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
