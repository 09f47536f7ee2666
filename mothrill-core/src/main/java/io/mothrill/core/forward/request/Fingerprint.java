package io.mothrill.core.forward.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Names a request by what an upstream sees of it: equal for two requests that no upstream can tell
 * apart, whichever caller's id, instance or connection they come with.
 *
 * <pre>{@code
 * Fingerprint.of("branch", "POST", "hall.example", "/form/7", body).toString();
 * }</pre>
 *
 * <p>A cryptographic hash, cut to 128 bits: with a faster one a caller could make a request that is
 * taken for another team's.
 *
 * @param high the first 64 bits
 * @param low the last 64 bits
 */
public record Fingerprint(long high, long low) {

  /**
   * Takes the fingerprint of a request.
   *
   * @param team the team that pays, which upstreams are told; empty when none does. Keys of one
   *     team are one caller, so that a changed key does not make a request a new one
   * @param method the HTTP method
   * @param host the host that it names
   * @param target the path with its query
   * @param body the whole body; its position stays as it is
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

  /** Adds a text with its length before it, so that no text can run over into the next one. */
  private static void update(MessageDigest digest, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
    digest.update(bytes);
  }

  /** Writes it as logs show it: 32 hexadecimal digits. */
  @Override
  public String toString() {
    HexFormat hex = HexFormat.of();
    return hex.toHexDigits(high) + hex.toHexDigits(low);
  }
}
