package io.mothrill.wire.json;

import java.util.regex.Pattern;

/** The format of the names of resources, instances and keys. */
public final class NameFormat {

  /** The description of the format, phrased to follow a field's path. */
  public static final String RULE =
      "must have 1 to 128 characters out of letters, digits, '.', '_', '~', ':' and '-'";

  private static final Pattern VALID = Pattern.compile("[A-Za-z0-9._~:-]{1,128}");

  private NameFormat() {}

  /**
   * Checks a name.
   *
   * @param name the name
   * @return true when the name has the required format
   */
  public static boolean isValid(String name) {
    return VALID.matcher(name).matches();
  }
}
