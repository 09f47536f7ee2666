package io.mothrill.daemon.forward;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.answer.SelfReportDispatcher;
import io.mothrill.core.forward.capacity.EngineHoldings;
import io.mothrill.core.forward.check.HeldTokensCheck;
import io.mothrill.core.forward.check.SendChecks;
import io.mothrill.core.forward.contention.ContentionBroadcast;
import io.mothrill.core.forward.contention.ContentionMonitor;
import io.mothrill.core.forward.contention.ContentionReport;
import io.mothrill.core.forward.contention.PlainLatencyCost;
import io.mothrill.core.forward.contention.UpstreamContention;
import io.mothrill.core.forward.contention.WorkTimes;
import io.mothrill.core.forward.lease.UpstreamLeases;
import io.mothrill.core.forward.limit.AnnouncedRateLimits;
import io.mothrill.core.forward.limit.RejectionBudgets;
import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.load.SwitchedCost;
import io.mothrill.core.forward.path.BrokenPaths;
import io.mothrill.core.forward.permit.FleetView;
import io.mothrill.core.forward.permit.SendPermits;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.plan.ServicePlan;
import io.mothrill.core.forward.plan.WarmUpPlan;
import io.mothrill.core.forward.upstream.LeavingUpstreams;
import io.mothrill.core.forward.upstream.PlainCost;
import io.mothrill.core.forward.upstream.PrefillSpeed;
import io.mothrill.core.forward.upstream.PrefixCacheEstimator;
import io.mothrill.core.forward.upstream.PromptCost;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamBackoffs;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.forward.upstream.UpstreamPicker;
import io.mothrill.core.forward.upstream.UpstreamStatusBroadcast;
import io.mothrill.core.forward.warmup.WarmUpRateLimits;
import io.mothrill.core.forward.warmup.WarmingUpstreams;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/** Assembles the components that choose the upstream of a request. */
final class UpstreamSelection {

  private final Timers timers;
  private final PublishedValue<UpstreamList> upstreams;
  private final UpstreamLoads loads = new UpstreamLoads();
  private final PrefillSpeed speed = new PrefillSpeed();
  private final PrefixCacheEstimator memory = new PrefixCacheEstimator();
  private final EngineHoldings holdings;
  private final WarmingUpstreams warming;
  private final AnnouncedRateLimits limits;
  private final LeavingUpstreams leaving;
  private final UpstreamBackoffs resting;
  private final UpstreamLeases leases;
  private final RejectionBudgets rejectionBudgets;
  private final SelfReportDispatcher selfReports;
  private final UpstreamStatusBroadcast statusBroadcast;
  private final ContentionMonitor contention;
  private final SendChecks checks;
  private final PromptSelection prompts;
  private final UpstreamPicker picker;

  /**
   * The current declarations and upstreams.
   *
   * @param plan the plan in force
   * @param evacuatedDomains the failure domains that operators are evacuating
   * @param upstreams the registered upstreams
   */
  record View(
      PublishedValue<ForwardingPlan> plan,
      PublishedValue<Set<String>> evacuatedDomains,
      PublishedValue<UpstreamList> upstreams) {

    Optional<WarmUpPlan> warmUpOf(String service) {
      return plan.read().findService(service).flatMap(ServicePlan::warmUp);
    }
  }

  UpstreamSelection(
      InstanceRecord self,
      ForwardSettings settings,
      LoadFeatures features,
      View view,
      FleetView fleet,
      BrokenPaths brokenPaths,
      ReportSenders reports,
      Predicate<String> reachedDomains,
      Timers timers,
      RandomGenerator random) {
    this.timers = timers;
    this.upstreams = view.upstreams();
    view.upstreams().subscribe(loads::retain);
    view.upstreams().subscribe(memory::retain);
    this.holdings = new EngineHoldings(features);
    view.upstreams().subscribe(holdings::retain);
    this.warming =
        new WarmingUpstreams(view.upstreams(), view.evacuatedDomains(), view::warmUpOf, timers);
    SendPermits warmUps =
        new SendPermits(
            self, fleet, new WarmUpRateLimits(warming, view::warmUpOf, settings.warmUp()), timers);
    view.upstreams().subscribe(warmUps::retain);
    this.limits =
        new AnnouncedRateLimits(fleet::others, reports.limits(), view.upstreams(), timers);
    SendPermits limitPermits = new SendPermits(self, fleet, limits, timers);
    view.upstreams().subscribe(limitPermits::retain);
    this.leaving = new LeavingUpstreams(timers);
    this.resting = new UpstreamBackoffs(timers);
    view.upstreams().subscribe(leaving::retain);
    view.upstreams().subscribe(resting::retain);
    this.statusBroadcast =
        new UpstreamStatusBroadcast(
            self,
            fleet::others,
            reports.status(),
            view.upstreams(),
            loads,
            warming,
            leaving,
            timers);
    this.leases =
        new UpstreamLeases(self, fleet, view.upstreams(), reports.leases(), timers, random);
    this.rejectionBudgets =
        new RejectionBudgets(
            self, fleet, view.upstreams(), loads, leases, reports.rejections(), timers);
    this.selfReports =
        new SelfReportDispatcher(
            warming, limits, leaving, statusBroadcast, resting, rejectionBudgets);
    this.checks =
        new SendChecks(
            view.upstreams(),
            settings.regionByDomain(),
            view.evacuatedDomains(),
            leaving,
            resting,
            new HeldTokensCheck(features, view.plan(), holdings),
            rejectionBudgets,
            warmUps,
            limitPermits,
            timers);
    UpstreamContention slowness = new UpstreamContention(random);
    this.prompts =
        new PromptSelection(
            settings.domain(), features, view, fleet, loads, memory, slowness, timers, random);
    WorkTimes workTimes = new WorkTimes();
    this.contention =
        new ContentionMonitor(
            slowness,
            loads,
            features,
            view.upstreams(),
            new ContentionBroadcast(self, fleet::others, reports.contention(), timers),
            workTimes,
            prompts.model()::firstEventMs,
            brokenPaths::contains,
            timers);
    this.picker =
        new UpstreamPicker(
            view.upstreams(),
            loads,
            new SwitchedCost(
                features,
                new PlainLatencyCost(settings.domain(), loads, slowness, workTimes, random),
                new PlainCost(settings.domain(), loads, random)),
            new SwitchedCost(
                features, prompts.cost(), new PromptCost(settings.domain(), loads, memory, speed)),
            checks,
            warming::isWarming,
            reachedDomains,
            timers);
  }

  /** Records what another instance has reported about a slow upstream. */
  void onContentionReport(ContentionReport report) {
    contention.onReport(report);
    upstreams
        .read()
        .findIncarnation(report.incarnation())
        .ifPresent(
            upstream ->
                report
                    .running()
                    .ifPresent(
                        running ->
                            holdings.onReport(
                                upstream, running, report.queued().orElse(0), timers.nowMs())));
  }

  /** Records a prompt that another instance has sent to an upstream. */
  void onNotice(RegisteredUpstream upstream, long promptTokens) {
    long nowMs = timers.nowMs();
    loads.of(upstream.incarnation()).onPromptNotice(promptTokens, speed.tokensPerMs(), nowMs);
    prompts.tracker().onNotice(upstream.incarnation(), promptTokens);
    holdings.onNotice(upstream, promptTokens, nowMs);
  }

  /** Removes the state of upstreams that are no longer registered and have nothing in flight. */
  void retain(UpstreamList list) {
    loads.retain(list);
    holdings.retain(list);
  }

  UpstreamLoads loads() {
    return loads;
  }

  PrefillSpeed speed() {
    return speed;
  }

  EngineHoldings holdings() {
    return holdings;
  }

  PrefixCacheEstimator memory() {
    return memory;
  }

  WarmingUpstreams warming() {
    return warming;
  }

  AnnouncedRateLimits limits() {
    return limits;
  }

  LeavingUpstreams leaving() {
    return leaving;
  }

  UpstreamBackoffs resting() {
    return resting;
  }

  UpstreamLeases leases() {
    return leases;
  }

  RejectionBudgets rejectionBudgets() {
    return rejectionBudgets;
  }

  SelfReportDispatcher selfReports() {
    return selfReports;
  }

  UpstreamStatusBroadcast statusBroadcast() {
    return statusBroadcast;
  }

  ContentionMonitor contention() {
    return contention;
  }

  SendChecks checks() {
    return checks;
  }

  PromptSelection prompts() {
    return prompts;
  }

  UpstreamPicker picker() {
    return picker;
  }
}
