package io.mothrill.core.resource;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The kinds of resources that operators declare. */
public enum ResourceKind {
  /** A customer with keys of its own. */
  TEAM("Team"),
  /** Prepaid tokens of one team. */
  BUDGET("Budget"),
  /** A model or a plain service that callers may name. */
  SERVICE("Service"),
  /** A back end that serves one service. */
  UPSTREAM("Upstream"),
  /** A failure domain whose upstreams get nothing new. */
  EVACUATION("Evacuation");

  private final String title;

  ResourceKind(String title) {
    this.title = title;
  }

  /**
   * Gives the name as it stands in the field {@code kind}.
   *
   * @return for example {@code Team}
   */
  public String title() {
    return title;
  }

  /**
   * Finds a kind by any customary spelling.
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
   * Gives the name as it stands in addresses.
   *
   * @return for example {@code teams}
   */
  public String plural() {
    return singular() + "s";
  }

  private String singular() {
    return title.toLowerCase(Locale.ROOT);
  }
}
