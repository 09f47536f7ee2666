package io.mothrill.core.upstream;

/** The body of a call, which the output cap is written into. */
public interface CallBody {

  /**
   * Makes the body that is sent upstream.
   *
   * @param maxOutputTokens the output cap that the upstream must keep
   * @return the bytes; not to be changed
   */
  byte[] forUpstream(long maxOutputTokens);
}
