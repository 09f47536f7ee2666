package io.mothrill.daemon.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.wire.operator.OperatorClient;
import java.util.UUID;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code mothrill delete}: deletes a resource that no other resource refers to. */
public final class DeleteCommand extends OperatorCommand {

  @Argument(index = 0, required = true, metaVar = "KIND", usage = "for example upstream")
  private String kind;

  @Argument(index = 1, required = true, metaVar = "NAME", usage = "the resource's name")
  private String name;

  @Option(name = "--change-id", metaVar = "ID", usage = "makes a repeated delete harmless")
  private String changeId = UUID.randomUUID().toString();

  @Override
  int run(OperatorClient client) throws Exception {
    JsonNode change = checked(client.delete(kind, name, changeId).get());
    System.out.println(
        change.path("kind").asText()
            + "/"
            + name
            + " deleted at revision "
            + change.path("revision").asLong());
    return OK;
  }
}
