package io.mothrill.daemon.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.wire.operator.OperatorClient;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;

/** {@code mothrill get}: prints a resource, or all resources of a kind, with their status. */
public final class GetCommand extends OperatorCommand {

  @Argument(index = 0, required = true, metaVar = "KIND", usage = "for example budgets")
  private String kind;

  @Argument(index = 1, metaVar = "NAME", usage = "only this one")
  private String name = "";

  @Override
  int run(OperatorClient client) throws Exception {
    JsonNode node = checked(client.get(kind, name).get());
    if (wantsJson()) {
      System.out.println(node.toPrettyString());
      return OK;
    }
    List<JsonNode> items = new ArrayList<>();
    if (node.has("items")) {
      node.path("items").forEach(items::add);
    } else {
      items.add(node);
    }
    System.out.print(ResourceTable.render(items));
    return OK;
  }
}
