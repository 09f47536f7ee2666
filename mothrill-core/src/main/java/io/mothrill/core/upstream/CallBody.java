package io.mothrill.core.upstream;

/** The body of a call, into which the output cap is inserted. */
public interface CallBody {

  /**
   * Returns the body to send to the upstream.
   *
   * @param maxOutputTokens the output cap that the upstream must respect
   * @return the bytes; must not be modified
   */
  byte[] forUpstream(long maxOutputTokens);
}
