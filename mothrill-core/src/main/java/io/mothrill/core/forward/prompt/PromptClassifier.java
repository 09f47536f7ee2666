package io.mothrill.core.forward.prompt;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.plan.ForwardingPlan;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Determines the class of prompts from their length and the plan in force. */
public final class PromptClassifier {

  private final PublishedValue<ForwardingPlan> plan;
  private final PrefillTimeModel model;
  private volatile PlanLimits limits = new PlanLimits(ForwardingPlan.unknown());

  /** The limits of each service under one plan, derived when they are first asked for. */
  private record PlanLimits(ForwardingPlan plan, Map<String, PromptClassLimits> byService) {

    PlanLimits(ForwardingPlan plan) {
      this(plan, new ConcurrentHashMap<>());
    }

    PromptClassLimits of(String service) {
      PromptClassLimits known = byService.get(service);
      return known == null
          ? byService.computeIfAbsent(service, name -> PromptClassLimits.of(name, plan.routes()))
          : known;
    }
  }

  /**
   * Creates the classifier.
   *
   * @param plan the plan in force, whose routes state what callers need
   * @param model estimates prefill times
   */
  public PromptClassifier(PublishedValue<ForwardingPlan> plan, PrefillTimeModel model) {
    this.plan = plan;
    this.model = model;
  }

  /**
   * Determines the class of a prompt.
   *
   * @param service the service that it is sent to
   * @param tokens the length of the whole prompt, so that prompts with a common prefix have the
   *     same class whether it is cached or not
   * @return the class
   */
  public PromptClass classOf(String service, double tokens) {
    return limitsOf(service).classOf(model.prefillMs(service, tokens));
  }

  /** Returns the prefill time at an engine that makes the events of its requests late. */
  double stallMs(String service) {
    return limitsOf(service).stallMs();
  }

  private PromptClassLimits limitsOf(String service) {
    ForwardingPlan newest = plan.read();
    PlanLimits current = limits;
    if (current.plan() != newest) {
      current = new PlanLimits(newest);
      limits = current;
    }
    return current.of(service);
  }
}
