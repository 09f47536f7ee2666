package io.mothrill.core.request;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.budget.BudgetController;
import io.mothrill.core.forward.crash.CrashGuard;
import io.mothrill.core.routing.Router;
import io.mothrill.core.time.Timers;
import io.mothrill.core.upstream.UpstreamClient;

/**
 * The collaborators that an exchange uses.
 *
 * @param planner creates the plan of a request
 * @param records keeps one record per request key
 * @param answers lets retries wait for the answer of a run in flight
 * @param unrepeatable claims requests that may run only once
 * @param budgets reserves tokens
 * @param router assigns slots at upstreams
 * @param client sends calls to upstreams
 * @param crashes quarantines requests that crash upstreams
 * @param retryBudget limits retries
 * @param timers the clock and timer service
 * @param metrics the metric registry
 * @param settings the request settings
 */
public record ExchangeContext(
    CallPlanner planner,
    RequestRecords records,
    PendingAnswers answers,
    UnrepeatableClaims unrepeatable,
    BudgetController budgets,
    Router router,
    UpstreamClient client,
    CrashGuard crashes,
    RetryBudget retryBudget,
    Timers timers,
    MetricRegistry metrics,
    RequestSettings settings) {}
