package io.mothrill.daemon.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.resource.EvacuationSpec;
import io.mothrill.core.resource.Resource;
import io.mothrill.core.resource.ResourceKind;
import io.mothrill.wire.json.JsonResources;
import io.mothrill.wire.operator.OperatorClient;
import java.util.UUID;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code mothrill evacuate}: evacuates a failure domain, or reverts the evacuation. */
public final class EvacuateCommand extends OperatorCommand {

  @Argument(index = 0, required = true, metaVar = "DOMAIN", usage = "for example ankara-a")
  private String domain;

  @Option(name = "--undo", usage = "let upstreams of the domain get requests again")
  private boolean undo;

  @Option(name = "--change-id", metaVar = "ID", usage = "makes a repeated call harmless")
  private String changeId = UUID.randomUUID().toString();

  @Override
  int run(OperatorClient client) throws Exception {
    JsonNode change =
        checked(
            undo
                ? client.delete(ResourceKind.EVACUATION.plural(), domain, changeId).get()
                : client.apply(manifest(), changeId).get());
    System.out.println(
        domain
            + (undo ? " taken back" : " evacuated")
            + " at revision "
            + change.path("revision").asLong());
    return OK;
  }

  private ObjectNode manifest() {
    ObjectNode manifest = JsonResources.write(new Resource(domain, 0, new EvacuationSpec()));
    manifest.withObject("/metadata").remove("resourceVersion");
    return manifest;
  }
}
