package io.mothrill.core.peer.error;

/** A peer gave no reply; whether it took the request is not known. */
public final class PeerException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private PeerException(String message) {
    super(message);
  }

  /**
   * A peer could not be reached or did not reply in time.
   *
   * @param peer the peer's id
   * @param detail what happened
   * @return the error
   */
  public static PeerException noReply(String peer, String detail) {
    return new PeerException("no reply from " + peer + ": " + detail);
  }
}
