package io.mothrill.core.peer.error;

/** Thrown when a peer did not reply. It is unknown whether the peer accepted the request. */
public final class PeerException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean gone;

  private PeerException(String message, boolean gone) {
    super(message);
    this.gone = gone;
  }

  /**
   * Creates the error for a peer that refused the connection, because its process has ended.
   *
   * @param peer the peer's id
   * @return the error
   */
  public static PeerException connectionRefused(String peer) {
    return new PeerException("connection refused by " + peer, true);
  }

  /**
   * Checks whether the peer's process has certainly ended.
   *
   * @return false when it may only be slow, paused or partitioned
   */
  public boolean isGone() {
    return gone;
  }

  /**
   * Creates the error for a peer that could not be reached or did not reply in time.
   *
   * @param peer the peer's id
   * @param detail the cause
   * @return the error
   */
  public static PeerException noReply(String peer, String detail) {
    return new PeerException("no reply from " + peer + ": " + detail, false);
  }
}
