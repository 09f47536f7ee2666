package io.mothrill.wire.forward;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.admission.ServiceAdmissions;
import io.mothrill.core.forward.answer.SelfReportDispatcher;
import io.mothrill.core.forward.buffer.BufferBudget;
import io.mothrill.core.forward.capacity.EngineHoldings;
import io.mothrill.core.forward.check.SendChecks;
import io.mothrill.core.forward.contention.ConnectTimeouts;
import io.mothrill.core.forward.contention.ContentionMonitor;
import io.mothrill.core.forward.crash.CrashGuard;
import io.mothrill.core.forward.limit.RejectionBudgets;
import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.path.BrokenPaths;
import io.mothrill.core.forward.path.RelayCandidates;
import io.mothrill.core.forward.path.UpstreamPaths;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.prompt.PromptTracker;
import io.mothrill.core.forward.retry.SharedRetryBudget;
import io.mothrill.core.forward.spending.SpendingController;
import io.mothrill.core.forward.stream.StreamOrigins;
import io.mothrill.core.forward.upstream.PrefillSpeed;
import io.mothrill.core.forward.upstream.PrefixCacheEstimator;
import io.mothrill.core.forward.upstream.PromptNoticeSender;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.forward.upstream.UpstreamPicker;
import io.mothrill.core.forward.upstream.UpstreamStatusBroadcast;
import io.mothrill.core.time.Timers;
import io.mothrill.core.work.WorkStats;
import io.mothrill.wire.relay.RelayClient;
import io.mothrill.wire.response.SurplusLog;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The dependencies shared by all forwarded requests.
 *
 * @param dialect maps header names
 * @param initialStateLoaded completes once the first plan and the first upstream list are loaded
 * @param plan the current plan
 * @param checks the checks that can forbid sending a request
 * @param rejectionBudgets leases places at upstreams that bear few rejections
 * @param picker selects upstreams
 * @param loads the known load of each upstream
 * @param holdings the tokens that each engine is asked to hold
 * @param prefixCache estimates which prompt prefixes each upstream has cached
 * @param prefillSpeed the estimated prefill speed of upstreams
 * @param promptNotices notifies other instances of long prompts
 * @param promptTracker follows prompts where decisions under load are active
 * @param streamOrigins knows which software version began a stream
 * @param spending reserves prepaid tokens
 * @param retries bounds the number of retries
 * @param log receives one entry per request
 * @param surplusLog receives what upstreams send beyond their responses
 * @param crashGuard quarantines requests that crash upstreams
 * @param endCheck checks whether an upstream has terminated at the end of its response
 * @param statusBroadcast receives status changes of upstreams that were detected here
 * @param selfReports receives what upstreams report about themselves in responses
 * @param contacts receives each upstream from which data arrives
 * @param paths tells apart failures of upstreams and of the paths to them
 * @param brokenPaths the upstreams that need connections through other instances
 * @param relayClient opens connections through other instances
 * @param relayCandidates the instances through which connections can be opened
 * @param loadFeatures determines where decisions under load are active
 * @param admissions decides who is admitted to full services
 * @param contention observes how long requests wait at upstreams
 * @param connectTimeouts determines how long requests wait for connections
 * @param buffers limits the memory held for slow readers
 * @param timers the clock and timers
 * @param workStats counts the work of connections
 * @param random selects among the services of a split route
 */
public record ForwardDependencies(
    Dialect dialect,
    CompletableFuture<Void> initialStateLoaded,
    PublishedValue<ForwardingPlan> plan,
    SendChecks checks,
    RejectionBudgets rejectionBudgets,
    UpstreamPicker picker,
    UpstreamLoads loads,
    EngineHoldings holdings,
    PrefixCacheEstimator prefixCache,
    PrefillSpeed prefillSpeed,
    PromptNoticeSender promptNotices,
    PromptTracker promptTracker,
    StreamOrigins streamOrigins,
    SpendingController spending,
    SharedRetryBudget retries,
    ForwardedRequestLog log,
    SurplusLog surplusLog,
    CrashGuard crashGuard,
    EndCheck endCheck,
    UpstreamStatusBroadcast statusBroadcast,
    SelfReportDispatcher selfReports,
    Consumer<RegisteredUpstream> contacts,
    UpstreamPaths paths,
    BrokenPaths brokenPaths,
    RelayClient relayClient,
    RelayCandidates relayCandidates,
    LoadFeatures loadFeatures,
    ServiceAdmissions admissions,
    ContentionMonitor contention,
    ConnectTimeouts connectTimeouts,
    BufferBudget buffers,
    Timers timers,
    WorkStats workStats,
    RandomGenerator random) {}
