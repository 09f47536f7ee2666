package io.mothrill.core.forward.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Identifies a request by what an upstream receives of it: equal for two requests that an upstream
 * cannot distinguish, regardless of the caller's request id, the instance and the connection.
 *
 * <pre>{@code
 * Fingerprint.of("branch", "POST", "hall.example", "/form/7", body).toString();
 * }</pre>
 *
 * <p>It is a cryptographic hash, truncated to 128 bits. With a faster hash a caller could construct
 * a request that has the fingerprint of another team's request.
 *
 * @param high the first 64 bits
 * @param low the last 64 bits
 */
public record Fingerprint(long high, long low) {

  /**
   * Computes the fingerprint of a request.
   *
   * @param team the team that pays, which is sent to upstreams; empty if there is none. The keys of
   *     a team share it, so a request with another key of the team is the same request
   * @param method the HTTP method
   * @param host the requested host
   * @param target the path with its query
   * @param body the whole body; its position is not changed
   * @return the fingerprint
   */
  public static Fingerprint of(
      String team, String method, String host, String target, ByteBuffer body) {
    MessageDigest digest = DigestUtils.getSha256Digest();
    update(digest, team);
    update(digest, method);
    update(digest, host);
    update(digest, target);
    digest.update(body.duplicate());
    ByteBuffer hash = ByteBuffer.wrap(digest.digest());
    return new Fingerprint(hash.getLong(), hash.getLong());
  }

  /**
   * Computes the fingerprint of a part of a prompt. Teams, services and places in the prompt do not
   * matter: the same text crashes the same upstreams.
   *
   * @param partId the id of the part
   * @return the fingerprint, different from those of all requests
   */
  public static Fingerprint ofPart(String partId) {
    MessageDigest digest = DigestUtils.getSha256Digest();
    update(digest, "part");
    update(digest, partId);
    ByteBuffer hash = ByteBuffer.wrap(digest.digest());
    return new Fingerprint(hash.getLong(), hash.getLong());
  }

  /** Adds a text prefixed with its length, so that adjacent texts cannot be confused. */
  private static void update(MessageDigest digest, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
    digest.update(bytes);
  }

  /** Returns the form used in logs: 32 hexadecimal digits. */
  @Override
  public String toString() {
    HexFormat hex = HexFormat.of();
    return hex.toHexDigits(high) + hex.toHexDigits(low);
  }
}
