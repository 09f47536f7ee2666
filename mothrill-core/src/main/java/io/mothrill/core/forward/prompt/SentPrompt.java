package io.mothrill.core.forward.prompt;

/** A prompt that an engine reads; receives how that goes on. */
public interface SentPrompt {

  /** For requests that are not tracked. */
  SentPrompt UNTRACKED =
      new SentPrompt() {
        @Override
        public void onFirstEvent(long tookMs) {}

        @Override
        public void onPrefillDone() {}

        @Override
        public void onEnded(long heldMs) {}
      };

  /**
   * Called when the first event has arrived.
   *
   * @param tookMs the time from sending to the first event
   */
  void onFirstEvent(long tookMs);

  /** Called once when the engine no longer reads the prompt, whether it has read it or not. */
  void onPrefillDone();

  /**
   * Called once when the request has ended at the engine.
   *
   * @param heldMs for how long it held a slot there, or waited for one
   */
  void onEnded(long heldMs);
}
