package io.mothrill.wire.peer;

import io.mothrill.core.forward.crash.CrashMessage;
import io.mothrill.core.forward.limit.RateLimitReport;
import io.mothrill.core.forward.upstream.PromptNoticeSender;
import io.mothrill.core.forward.upstream.UpstreamStatusReport;
import io.mothrill.core.platform.InstanceRecord;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Who gets the notices of other instances.
 *
 * @param prompts gets those about prompts
 * @param crashes gets those about requests under which upstreams crash, and where an answer goes
 * @param statusReports gets those about upstreams that have ended or are out of reach
 * @param limits gets those about upstreams that name a limit
 * @param hosts gets the IP address of each instance that sent one
 */
public record NoticeListeners(
    PromptNoticeSender prompts,
    BiConsumer<CrashMessage, InstanceRecord> crashes,
    Consumer<UpstreamStatusReport> statusReports,
    Consumer<RateLimitReport> limits,
    Consumer<String> hosts) {

  /**
   * Listens to one kind of notice only.
   *
   * @param crashes gets notices about requests under which upstreams crash
   * @return listeners that pass over all others
   */
  public static NoticeListeners ofCrashes(BiConsumer<CrashMessage, InstanceRecord> crashes) {
    return new NoticeListeners(
        (incarnation, tokens) -> {}, crashes, fate -> {}, limit -> {}, host -> {});
  }
}
