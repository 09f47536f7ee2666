package io.mothrill.core.forward.spending;

import io.mothrill.core.platform.Cells;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/**
 * One instance's row: its grants of all teams, renewed together.
 *
 * @param sentAtStoreMs when it was sent, by the store's clock, or a little earlier
 * @param host where other instances reach it; empty when it takes no calls of theirs
 * @param peerPort the TCP port for other instances
 * @param domain its failure domain; empty when it does not say so
 * @param grants the grants by team
 */
public record InstanceSpending(
    long sentAtStoreMs,
    String host,
    int peerPort,
    String domain,
    Map<String, SpendingGrant> grants) {

  /** A row that does not exist. */
  public static final InstanceSpending NONE = new InstanceSpending(0, "", 0, "", Map.of());

  private static final String HOST = "host";
  private static final String PEER_PORT = "peerPort";
  private static final String DOMAIN = "domain";

  private static final String SENT_AT = "sentAtMs";
  private static final String TEAM_PREFIX = "team.";
  private static final String SEPARATOR = ",";

  /** Six whole numbers of up to 18 digits. */
  private static final Pattern GRANT = Pattern.compile("\\d{1,18}(,\\d{1,18}){5}");

  /** Takes a copy of the grants. */
  public InstanceSpending {
    grants = Map.copyOf(grants);
  }

  /**
   * Gives the grant of a team.
   *
   * @param team the team's name
   * @return its grant, or one under which nothing may be spent
   */
  public SpendingGrant grantOf(String team) {
    return grants.getOrDefault(team, SpendingGrant.NONE);
  }

  /**
   * Settles the row of a dead instance.
   *
   * @param nowStoreMs the store's clock, read after the instance died
   * @return a row under which nothing more may be spent
   */
  public InstanceSpending closedAt(long nowStoreMs) {
    long silentMs = Math.max(0, nowStoreMs - sentAtStoreMs);
    Map<String, SpendingGrant> closed = new TreeMap<>();
    grants.forEach((team, grant) -> closed.put(team, grant.closedAfterMs(silentMs)));
    return new InstanceSpending(nowStoreMs, host, peerPort, domain, closed);
  }

  /**
   * Writes the row's cells.
   *
   * @return one cell for each team
   */
  public Cells toCells() {
    Cells.Builder cells = Cells.builder();
    cells.add(SENT_AT, sentAtStoreMs);
    cells.add(HOST, host);
    cells.add(PEER_PORT, peerPort);
    cells.add(DOMAIN, domain);
    grants.forEach((team, grant) -> cells.add(TEAM_PREFIX + team, write(grant)));
    return cells.build();
  }

  /**
   * Reads a row.
   *
   * @param cells the row's cells; none for a row that does not exist
   * @return the row
   */
  public static InstanceSpending read(Cells cells) {
    Map<String, SpendingGrant> grants = new TreeMap<>();
    cells.asMap().entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(TEAM_PREFIX))
        .forEach(
            entry ->
                readGrant(String.valueOf(entry.getValue()))
                    .ifPresent(
                        grant ->
                            grants.put(entry.getKey().substring(TEAM_PREFIX.length()), grant)));
    return new InstanceSpending(
        cells.number(SENT_AT),
        cells.text(HOST),
        (int) cells.number(PEER_PORT),
        cells.text(DOMAIN),
        grants);
  }

  private static String write(SpendingGrant grant) {
    return Arrays.stream(
            new long[] {
              grant.spentTokens(),
              grant.limitTokens(),
              grant.immediateTokens(),
              grant.slowReleaseTokensPerS(),
              grant.fastReleaseTokensPerS(),
              grant.demandTokensPerS()
            })
        .mapToObj(Long::toString)
        .collect(Collectors.joining(SEPARATOR));
  }

  /**
   * Reads a grant; empty for one that no instance has written. That is safe: its limit stays in the
   * sum of the team's row, so nobody else gets those tokens.
   */
  private static Optional<SpendingGrant> readGrant(String text) {
    if (!GRANT.matcher(text).matches()) {
      Logger.error("grant not understood text={}", text);
      return Optional.empty();
    }
    long[] numbers = Arrays.stream(text.split(SEPARATOR)).mapToLong(Long::parseLong).toArray();
    return Optional.of(
        new SpendingGrant(numbers[0], numbers[1], numbers[2], numbers[3], numbers[4], numbers[5]));
  }
}
