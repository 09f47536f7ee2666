package io.mothrill.core.request;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.budget.BudgetController;
import io.mothrill.core.forward.crash.CrashGuard;
import io.mothrill.core.routing.Router;
import io.mothrill.core.time.Timers;
import io.mothrill.core.upstream.UpstreamClient;

/**
 * What a request needs on its way.
 *
 * @param planner finds out who asks and for what
 * @param records keeps one record per request key
 * @param answers lets retries wait for answers
 * @param unrepeatable claims requests that may run only once
 * @param budgets reserves tokens
 * @param router gives slots at upstreams
 * @param client sends calls
 * @param crashes keeps requests that end upstreams away from them
 * @param retryBudget limits retries
 * @param timers the time
 * @param metrics counts what happens
 * @param settings how requests are run
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
