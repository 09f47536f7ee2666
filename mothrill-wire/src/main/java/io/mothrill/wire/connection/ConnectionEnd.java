package io.mothrill.wire.connection;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.Locale;
import java.util.Optional;

/**
 * How a connection has ended, as far as this side can tell.
 *
 * @param kind what was noticed first
 * @param detail the error; empty where there was none
 */
public record ConnectionEnd(Kind kind, String detail) {

  /** What was noticed first when the connection ended. */
  public enum Kind {
    /** The other side has closed the connection after everything that it had sent. */
    END_OF_STREAM,
    /** A read failed, for example because the other side has reset the connection. */
    READ_FAILED,
    /** A write failed; what the other side had sent may not have been received. */
    WRITE_FAILED,
    /** This side has closed the connection. */
    CLOSED_LOCALLY
  }

  private static final AttributeKey<ConnectionEnd> KEY =
      AttributeKey.valueOf(ConnectionEnd.class, "end");

  /** Returns how a connection has ended; empty while it is open. */
  public static Optional<ConnectionEnd> of(Channel connection) {
    return Optional.ofNullable(connection.attr(KEY).get());
  }

  /** Sets how a connection has ended, unless that is known already. */
  public static void set(Channel connection, Kind kind, String detail) {
    connection.attr(KEY).setIfAbsent(new ConnectionEnd(kind, detail));
  }

  /** Checks whether everything that the other side has sent was received. */
  public boolean isComplete() {
    return kind == Kind.END_OF_STREAM;
  }

  /** Returns a description for the log. */
  public String describe() {
    String name = kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    return detail.isEmpty() ? name : name + ": " + detail;
  }
}
