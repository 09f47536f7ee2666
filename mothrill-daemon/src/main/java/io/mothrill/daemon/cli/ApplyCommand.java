package io.mothrill.daemon.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import io.mothrill.wire.json.Json;
import io.mothrill.wire.json.JsonResources;
import io.mothrill.wire.operator.OperatorClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import org.kohsuke.args4j.Option;

/** {@code mothrill apply}: declares resources from a file. */
public final class ApplyCommand extends OperatorCommand {

  private static final long POLL_MS = 200;

  @Option(
      name = "-f",
      aliases = "--file",
      required = true,
      metaVar = "FILE",
      usage = "one resource, or a list of resources, in JSON")
  private String file;

  @Option(name = "--change-id", metaVar = "ID", usage = "makes a repeated apply harmless")
  private String changeId = UUID.randomUUID().toString();

  @Option(name = "--wait", usage = "wait until all reachable instances have the change in force")
  private boolean wait;

  @Option(name = "--wait-ms", metaVar = "MS", usage = "how long to wait (default 10000)")
  private long waitMs = 10_000;

  @Override
  int run(OperatorClient client) throws Exception {
    List<JsonNode> manifests = manifests();
    long revision = 0;
    for (int index = 0; index < manifests.size(); index++) {
      JsonNode change = checked(client.apply(manifests.get(index), changeId + "-" + index).get());
      revision = change.path("revision").asLong();
      print(change);
    }
    return wait ? awaitInForce(client, revision) : OK;
  }

  private List<JsonNode> manifests() {
    JsonNode node = Json.read(SettingsFile.bytes(file));
    List<JsonNode> manifests = new ArrayList<>();
    if (node.isArray()) {
      node.forEach(manifests::add);
    } else {
      manifests.add(node);
    }
    if (manifests.isEmpty()) {
      throw InvalidInputException.of(FieldError.refused("$", "has no resource"));
    }
    manifests.forEach(JsonResources::readManifest);
    return manifests;
  }

  private void print(JsonNode change) {
    System.out.println(
        wantsJson()
            ? change.toString()
            : change.path("kind").asText()
                + "/"
                + change.path("name").asText()
                + " applied at revision "
                + change.path("revision").asLong());
  }

  private int awaitInForce(OperatorClient client, long revision) throws Exception {
    long attempts = Math.max(1, waitMs / POLL_MS);
    Set<String> behind = Set.of();
    for (long attempt = 0; attempt < attempts; attempt++) {
      behind = behind(checked(client.config().get()), revision);
      if (behind.isEmpty()) {
        System.out.println("revision " + revision + " is in force on all reachable instances");
        return OK;
      }
      Thread.sleep(POLL_MS);
    }
    System.err.println("revision " + revision + " is not in force on " + behind);
    return FAILED;
  }

  private static Set<String> behind(JsonNode state, long revision) {
    Set<String> behind = new TreeSet<>();
    if (state.path("revision").asLong() < revision) {
      behind.add("the instance that was asked");
    }
    state
        .path("peers")
        .fields()
        .forEachRemaining(
            peer -> {
              if (peer.getValue().asLong() < revision) {
                behind.add(peer.getKey());
              }
            });
    return behind;
  }
}
