package io.mothrill.core.forward.view;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.upstream.StaleRegistrationFilter;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.view.table.TableCopy;
import io.mothrill.core.forward.view.table.TableState;
import io.mothrill.core.time.Timers;
import java.util.Set;
import org.tinylog.Logger;

/** Decodes the copies of the tables and publishes what has changed. Thread-safe. */
final class ViewPublisher {

  private final StateDecoder decoder;
  private final PublishedValue<ForwardingPlan> plan;
  private final PublishedValue<Set<String>> evacuatedDomains;
  private final PublishedValue<UpstreamList> upstreams;
  private final Timers timers;
  private final StaleRegistrationFilter staleFilter = new StaleRegistrationFilter();
  private long publishedConfigVersion = -1;
  private long publishedUpstreamsVersion = -1;
  private volatile long publishedUpstreamChangeVersion = -1;

  ViewPublisher(
      StateDecoder decoder,
      PublishedValue<ForwardingPlan> plan,
      PublishedValue<Set<String>> evacuatedDomains,
      PublishedValue<UpstreamList> upstreams,
      Timers timers) {
    this.decoder = decoder;
    this.plan = plan;
    this.evacuatedDomains = evacuatedDomains;
    this.upstreams = upstreams;
    this.timers = timers;
  }

  /**
   * Publishes the plan and the evacuated failure domains. Plans only move forward; evacuations have
   * no version of their own and follow the copy.
   *
   * @param from where the rows come from, for the log
   * @param startedMs when they were requested
   */
  synchronized void publishConfig(TableCopy copy, String from, long startedMs) {
    long version = copy.state().version();
    if (version < publishedConfigVersion) {
      return;
    }
    publishedConfigVersion = version;
    DeclaredConfig config = decoder.decodeConfig(copy.rows());
    config.plan().ifPresent(read -> applyPlan(read, from, startedMs));
    Set<String> before = evacuatedDomains.read();
    if (!before.equals(config.evacuatedDomains())) {
      Logger.info("evacuated domains now={} before={}", config.evacuatedDomains(), before);
      evacuatedDomains.publish(config.evacuatedDomains());
    }
  }

  private void applyPlan(ForwardingPlan read, String from, long startedMs) {
    long beforeVersion = plan.read().version();
    if (read.version() <= beforeVersion) {
      return;
    }
    plan.update(before -> read.version() > before.version() ? read : before);
    Logger.info(
        "plan in force version={} before={} from={} tookMs={}",
        read.version(),
        beforeVersion,
        from,
        timers.nowMs() - startedMs);
  }

  /** Returns the version of the newest change of the upstreams that everyone was notified of. */
  long publishedUpstreamChangeVersion() {
    return publishedUpstreamChangeVersion;
  }

  /**
   * Publishes the upstreams.
   *
   * <p>Most reads return an unchanged list, which is not published: processing a list of dozens of
   * upstreams each time takes a small instance more time than its requests do.
   *
   * @param keepsMissing whether to keep upstreams that are no longer registered
   */
  synchronized void publishUpstreams(TableCopy copy, boolean keepsMissing) {
    TableState state = copy.state();
    if (!copy.isKnown() || state.version() < publishedUpstreamsVersion) {
      return;
    }
    publishedUpstreamsVersion = state.version();
    UpstreamList read = decoder.decodeUpstreams(copy.rows());
    upstreams.update(
        before -> {
          UpstreamList corrected = staleFilter.replaceStale(read, before);
          UpstreamList current = keepsMissing ? corrected.withMissingFrom(before) : corrected;
          return current.hasSameContent(before) ? before : current;
        });
    publishedUpstreamChangeVersion = state.changeVersion();
  }
}
