package io.mothrill.lab.standin;

/** The token generation of one call in the engine stand-in. */
final class Sequence {

  private final String requestId;
  private final String prompt;
  private final boolean urgent;
  private final int maxTokens;
  private final SequenceOutput output;
  private int prefillSteps;
  private int emitted;
  private volatile boolean cancelled;

  Sequence(String requestId, String prompt, boolean urgent, int maxTokens, SequenceOutput output) {
    this.requestId = requestId;
    this.prompt = prompt;
    this.urgent = urgent;
    this.maxTokens = maxTokens;
    this.output = output;
  }

  /** Receives the tokens of a sequence. */
  interface SequenceOutput {

    void onToken(String text, int promptTokens, int emittedTokens);

    void onEnd(int promptTokens, int emittedTokens);
  }

  String requestId() {
    return requestId;
  }

  String prompt() {
    return prompt;
  }

  boolean isUrgent() {
    return urgent;
  }

  int promptTokens() {
    return EngineText.promptTokens(prompt);
  }

  int emitted() {
    return emitted;
  }

  int maxTokens() {
    return maxTokens;
  }

  /** Resumes the sequence at a token index; the prompt is still in the prefix cache. */
  Sequence resumeAt(int token) {
    emitted = token;
    return this;
  }

  void cancel() {
    cancelled = true;
  }

  boolean isCancelled() {
    return cancelled;
  }

  void startPrefill(int steps) {
    prefillSteps = steps;
  }

  /** Runs one step and returns whether the sequence continues. */
  boolean step() {
    if (cancelled) {
      return false;
    }
    if (prefillSteps > 0) {
      prefillSteps--;
      return true;
    }
    String text = EngineText.token(prompt, emitted);
    emitted++;
    output.onToken(text, promptTokens(), emitted);
    if (emitted < maxTokens) {
      return true;
    }
    output.onEnd(promptTokens(), emitted);
    return false;
  }
}
