package io.mothrill.wire.forward;

import io.mothrill.core.board.Section;
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
import io.mothrill.core.work.WorkAccount;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * What every forwarded request needs.
 *
 * @param dialect the names on the wire
 * @param known completes once the first plan and the first list of upstreams were read
 * @param plan the plan in force
 * @param checks what forbids to send a request
 * @param picker chooses upstreams
 * @param loads what is known of the upstreams' loads
 * @param memory which prompts were sent where
 * @param speed how fast upstreams read prompts
 * @param notices tells other instances about long prompts
 * @param spending sets prepaid tokens aside
 * @param retries bounds sends beyond the first
 * @param log gets a line for each request
 * @param crashes keeps requests that end upstreams away from them
 * @param news gets what is found out about upstreams
 * @param answers gets what upstreams say of themselves in answers
 * @param heardDomains gets the failure domain of each upstream that says something
 * @param timers the time
 * @param work counts what connections cost
 * @param random chooses between the services of a split route
 */
public record ForwardParts(
    Dialect dialect,
    CompletableFuture<Void> known,
    Section<ForwardingPlan> plan,
    SendChecks checks,
    UpstreamPicker picker,
    UpstreamLoads loads,
    PrefixCacheEstimator memory,
    PrefillSpeed speed,
    PromptNoticeSender notices,
    SpendingController spending,
    SharedRetryBudget retries,
    ForwardLog log,
    CrashGuard crashes,
    UpstreamStatusBroadcast news,
    SelfReportDispatcher answers,
    Consumer<String> heardDomains,
    Timers timers,
    WorkAccount work,
    RandomGenerator random) {}
