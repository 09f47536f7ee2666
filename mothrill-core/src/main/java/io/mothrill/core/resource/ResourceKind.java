package io.mothrill.core.resource;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The kinds of resources that operators declare. */
public enum ResourceKind {
  /** A customer with its own API keys. */
  TEAM("Team"),
  /** The prepaid tokens of a team. */
  BUDGET("Budget"),
  /** A model or plain service that callers can request. */
  SERVICE("Service"),
  /** A back end that serves one service. */
  UPSTREAM("Upstream"),
  /** A failure domain whose upstreams get no new requests. */
  EVACUATION("Evacuation");

  private final String title;

  ResourceKind(String title) {
    this.title = title;
  }

  /**
   * Returns the name used in the {@code kind} field.
   *
   * @return the name, for example {@code Team}
   */
  public String title() {
    return title;
  }

  /**
   * Finds a kind by name, singular or plural, ignoring case.
   *
   * @param word for example {@code Team}, {@code team} or {@code teams}
   * @return the kind, or empty when there is none
   */
  public static Optional<ResourceKind> find(String word) {
    String lower = word.toLowerCase(Locale.ROOT);
    return Arrays.stream(values())
        .filter(kind -> lower.equals(kind.plural()) || lower.equals(kind.singular()))
        .findFirst();
  }

  /**
   * Returns the name used in URL paths.
   *
   * @return the name, for example {@code teams}
   */
  public String plural() {
    return singular() + "s";
  }

  private String singular() {
    return title.toLowerCase(Locale.ROOT);
  }
}
