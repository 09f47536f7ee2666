package io.mothrill.daemon.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.resource.TeamKey;
import io.mothrill.wire.json.Json;
import java.security.SecureRandom;
import java.util.HexFormat;
import org.kohsuke.args4j.Argument;

/**
 * {@code mothrill team-key}: generates a key for a team's callers and the hash to declare for it.
 */
public final class TeamKeyCommand implements Command {

  private static final int SECRET_BYTES = 24;
  private static final int SALT_BYTES = 8;

  @Argument(required = true, metaVar = "TEAM", usage = "the team's name")
  private String team;

  @Override
  public int run() {
    String secret = random(SECRET_BYTES);
    TeamKey key = TeamKey.hash(random(SALT_BYTES), secret);
    ObjectNode node = Json.object().put("callerKey", team + "." + secret);
    node.putObject("declare").put("salt", key.salt()).put("sha256", key.sha256());
    System.out.println(node.toPrettyString());
    return OK;
  }

  private static String random(int length) {
    byte[] bytes = new byte[length];
    new SecureRandom().nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }
}
