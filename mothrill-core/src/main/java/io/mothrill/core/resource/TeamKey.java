package io.mothrill.core.resource;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The stored form of a team's key: a salt and a hash, never the key itself.
 *
 * @param salt random text that is hashed before the secret
 * @param sha256 the hash of salt and secret, in hexadecimal
 */
public record TeamKey(String salt, String sha256) {

  /**
   * Hashes a secret.
   *
   * @param salt random text
   * @param secret the secret part of the key
   * @return the form to store
   */
  public static TeamKey hash(String salt, String secret) {
    return new TeamKey(salt, HexFormat.of().formatHex(digest(salt, secret)));
  }

  /**
   * Checks a secret against this key in constant time.
   *
   * @param secret the secret that a caller sent
   * @return true when the secret matches
   */
  public boolean matches(String secret) {
    byte[] expected = sha256.getBytes(StandardCharsets.US_ASCII);
    byte[] actual = hash(salt, secret).sha256.getBytes(StandardCharsets.US_ASCII);
    return MessageDigest.isEqual(expected, actual);
  }

  private static byte[] digest(String salt, String secret) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      sha.update(salt.getBytes(StandardCharsets.UTF_8));
      return sha.digest(secret.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException ex) {
      throw new IllegalStateException("every Java platform has SHA-256", ex);
    }
  }
}
