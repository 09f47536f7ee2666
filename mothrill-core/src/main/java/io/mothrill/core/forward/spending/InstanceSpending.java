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
 * One instance's row in the table: its grants for all teams, which are renewed together.
 *
 * @param sentAtStoreMs when the row was sent, by the store's clock, or slightly earlier
 * @param host the address for other instances; empty when the instance accepts no peer connections
 * @param peerPort the TCP port for other instances
 * @param domain the instance's failure domain; empty when it is unknown
 * @param grants the grants by team
 */
public record InstanceSpending(
    long sentAtStoreMs,
    String host,
    int peerPort,
    String domain,
    Map<String, SpendingGrant> grants) {

  /** The value for a row that does not exist. */
  public static final InstanceSpending NONE = new InstanceSpending(0, "", 0, "", Map.of());

  private static final String HOST = "host";
  private static final String PEER_PORT = "peerPort";
  private static final String DOMAIN = "domain";

  private static final String SENT_AT = "sentAtMs";
  private static final String TEAM_PREFIX = "team.";
  private static final String SEPARATOR = ",";
  private static final int MAX_PORT = 65_535;

  /** Six integers of up to 18 digits. */
  private static final Pattern GRANT = Pattern.compile("\\d{1,18}(,\\d{1,18}){5}");

  /** Copies the grants. */
  public InstanceSpending {
    grants = Map.copyOf(grants);
  }

  /**
   * Returns the grant of a team.
   *
   * @param team the team's name
   * @return its grant, or {@link SpendingGrant#NONE} under which nothing may be spent
   */
  public SpendingGrant grantOf(String team) {
    return grants.getOrDefault(team, SpendingGrant.NONE);
  }

  /**
   * Closes the row of an instance whose process has ended.
   *
   * @param nowStoreMs the store's clock, read after the process ended
   * @return a row under which nothing more may be spent
   */
  public InstanceSpending closedAt(long nowStoreMs) {
    long ageMs = Math.max(0, nowStoreMs - sentAtStoreMs);
    Map<String, SpendingGrant> closed = new TreeMap<>();
    grants.forEach((team, grant) -> closed.put(team, grant.closedAfterMs(ageMs)));
    return new InstanceSpending(nowStoreMs, host, peerPort, domain, closed);
  }

  /**
   * Returns the row's cells.
   *
   * @return the cells, with one for each team
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
   * Reads a row from its cells.
   *
   * <p>Another program may have written into the table. A row with a port that no socket accepts
   * keeps its grants, but not its address: connecting to it would throw in place of failing.
   *
   * @param cells the row's cells; empty for a row that does not exist
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
    long peerPort = cells.number(PEER_PORT);
    boolean isPort = peerPort >= 0 && peerPort <= MAX_PORT;
    return new InstanceSpending(
        cells.number(SENT_AT),
        isPort ? cells.text(HOST) : "",
        isPort ? (int) peerPort : 0,
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
   * Parses a grant; empty if the text was not written by an instance. Ignoring such a grant is
   * safe: its limit stays in the sum of the team's row, so no other instance gets those tokens.
   */
  private static Optional<SpendingGrant> readGrant(String text) {
    if (!GRANT.matcher(text).matches()) {
      Logger.error("invalid grant ignored text={}", text);
      return Optional.empty();
    }
    long[] numbers = Arrays.stream(text.split(SEPARATOR)).mapToLong(Long::parseLong).toArray();
    return Optional.of(
        new SpendingGrant(numbers[0], numbers[1], numbers[2], numbers[3], numbers[4], numbers[5]));
  }
}
