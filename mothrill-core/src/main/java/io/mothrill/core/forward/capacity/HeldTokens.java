package io.mothrill.core.forward.capacity;

/** The tokens that one request of this instance holds at an engine, from its sending to its end. */
public interface HeldTokens {

  /** Of a request that holds nothing, for example one without a prompt. */
  HeldTokens NONE =
      new HeldTokens() {
        @Override
        public void end(long nowMs) {}

        @Override
        public void release() {}
      };

  /**
   * Returns the tokens at the end of the request and records how long it held them; has no effect
   * if they were returned before.
   *
   * @param nowMs the current time
   */
  void end(long nowMs);

  /**
   * Returns the tokens of a request that was not run or whose connection broke. Its duration is not
   * that of a response, so it is not recorded.
   */
  void release();
}
