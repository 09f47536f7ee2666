package io.mothrill.wire.forward;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.answer.SelfReportDispatcher;
import io.mothrill.core.forward.check.SendChecks;
import io.mothrill.core.forward.crash.CrashGuard;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.retry.SharedRetryBudget;
import io.mothrill.core.forward.spending.SpendingController;
import io.mothrill.core.forward.upstream.PrefillSpeed;
import io.mothrill.core.forward.upstream.PrefixCacheEstimator;
import io.mothrill.core.forward.upstream.PromptNoticeSender;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.forward.upstream.UpstreamPicker;
import io.mothrill.core.forward.upstream.UpstreamStatusBroadcast;
import io.mothrill.core.time.Timers;
import io.mothrill.core.work.WorkStats;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * What every forwarded request needs.
 *
 * @param dialect the names on the wire
 * @param initialStateLoaded completes once the first plan and the first list of upstreams were read
 * @param plan the plan in force
 * @param checks what forbids to send a request
 * @param picker chooses upstreams
 * @param loads what is known of the upstreams' loads
 * @param prefixCache which prompts were sent where
 * @param prefillSpeed how fast upstreams read prompts
 * @param promptNotices tells other instances about long prompts
 * @param spending sets prepaid tokens aside
 * @param retries bounds sends beyond the first
 * @param log gets a line for each request
 * @param crashGuard keeps requests that end upstreams away from them
 * @param statusBroadcast gets what is found out about upstreams
 * @param selfReports gets what upstreams say of themselves in answers
 * @param domainContacts gets the failure domain of each upstream that says something
 * @param timers the time
 * @param workStats counts what connections cost
 * @param random chooses between the services of a split route
 */
public record ForwardDependencies(
    Dialect dialect,
    CompletableFuture<Void> initialStateLoaded,
    PublishedValue<ForwardingPlan> plan,
    SendChecks checks,
    UpstreamPicker picker,
    UpstreamLoads loads,
    PrefixCacheEstimator prefixCache,
    PrefillSpeed prefillSpeed,
    PromptNoticeSender promptNotices,
    SpendingController spending,
    SharedRetryBudget retries,
    ForwardedRequestLog log,
    CrashGuard crashGuard,
    UpstreamStatusBroadcast statusBroadcast,
    SelfReportDispatcher selfReports,
    Consumer<String> domainContacts,
    Timers timers,
    WorkStats workStats,
    RandomGenerator random) {}
