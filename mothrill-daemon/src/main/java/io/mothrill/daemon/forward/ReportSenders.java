package io.mothrill.daemon.forward;

import io.mothrill.core.forward.contention.ContentionReportSender;
import io.mothrill.core.forward.lease.LeaseMessageSender;
import io.mothrill.core.forward.limit.RateLimitReportSender;
import io.mothrill.core.forward.limit.RejectionReportSender;
import io.mothrill.core.forward.upstream.UpstreamStatusReportSender;

/**
 * Sends to other instances what this one finds out about upstreams.
 *
 * @param status sends reports about upstreams that have ended, leave or are unreachable
 * @param limits sends the rate limits that upstreams announce
 * @param rejections sends reports about brittle upstreams
 * @param contention sends reports about slow upstreams
 * @param leases sends messages about leases of places at upstreams
 */
record ReportSenders(
    UpstreamStatusReportSender status,
    RateLimitReportSender limits,
    RejectionReportSender rejections,
    ContentionReportSender contention,
    LeaseMessageSender leases) {}
