package io.mothrill.core.peer.error;

/** A peer gave no reply; whether it took the request is not known. */
public final class PeerException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean gone;

  private PeerException(String message, boolean gone) {
    super(message);
    this.gone = gone;
  }

  /**
   * Nothing listens at a peer's address: its process has ended.
   *
   * @param peer the peer's id
   * @return the error
   */
  public static PeerException connectionRefused(String peer) {
    return new PeerException("connection refused by " + peer, true);
  }

  /**
   * Says whether the peer's process has surely ended.
   *
   * @return false when it may only be slow, paused or cut off
   */
  public boolean isGone() {
    return gone;
  }

  /**
   * A peer could not be reached or did not reply in time.
   *
   * @param peer the peer's id
   * @param detail what happened
   * @return the error
   */
  public static PeerException noReply(String peer, String detail) {
    return new PeerException("no reply from " + peer + ": " + detail, false);
  }
}
