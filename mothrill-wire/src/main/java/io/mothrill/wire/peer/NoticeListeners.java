package io.mothrill.wire.peer;

import io.mothrill.core.forward.contention.ContentionReport;
import io.mothrill.core.forward.crash.CrashMessage;
import io.mothrill.core.forward.lease.LeaseMessage;
import io.mothrill.core.forward.limit.RateLimitReport;
import io.mothrill.core.forward.limit.RejectionReport;
import io.mothrill.core.forward.stream.StreamNotice;
import io.mothrill.core.forward.upstream.PromptNoticeSender;
import io.mothrill.core.forward.upstream.UpstreamStatusReport;
import io.mothrill.core.forward.view.exchange.ViewNotice;
import io.mothrill.core.platform.InstanceRecord;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The listeners for notices of other instances.
 *
 * @param prompts receives notices about prompts
 * @param crashes receives notices about requests that crash upstreams, with the sender to reply to
 * @param statusReports receives reports about upstreams that have ended or are unreachable
 * @param limits receives reports about rate limits announced by upstreams
 * @param rejections receives reports about brittle upstreams
 * @param contention receives reports about slow upstreams
 * @param views receives notices about the copies of tables that other instances have, with their
 *     senders
 * @param streams receives messages about the origins of streams, with their senders
 * @param leases receives messages about leases of places at upstreams, with their senders
 * @param hosts receives the IP address of the sender of each notice
 */
public record NoticeListeners(
    PromptNoticeSender prompts,
    BiConsumer<CrashMessage, InstanceRecord> crashes,
    Consumer<UpstreamStatusReport> statusReports,
    Consumer<RateLimitReport> limits,
    Consumer<RejectionReport> rejections,
    Consumer<ContentionReport> contention,
    BiConsumer<ViewNotice, InstanceRecord> views,
    BiConsumer<StreamNotice, InstanceRecord> streams,
    BiConsumer<LeaseMessage, InstanceRecord> leases,
    Consumer<String> hosts) {

  /**
   * Creates listeners that ignore all notices except crash notices.
   *
   * @param crashes receives notices about requests that crash upstreams
   * @return the listeners
   */
  public static NoticeListeners ofCrashes(BiConsumer<CrashMessage, InstanceRecord> crashes) {
    return new NoticeListeners(
        (incarnation, tokens) -> {},
        crashes,
        report -> {},
        limit -> {},
        report -> {},
        report -> {},
        (notice, sender) -> {},
        (notice, sender) -> {},
        (message, sender) -> {},
        host -> {});
  }
}
