package io.mothrill.daemon.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.operator.OperatorClient;
import java.util.concurrent.ExecutionException;
import org.kohsuke.args4j.Option;

/** {@code mothrill watch}: prints accepted changes, each once and in order. */
public final class WatchCommand extends OperatorCommand {

  private static final long WAIT_MS = 10_000;
  private static final long RETRY_MS = 1_000;

  @Option(name = "--from", metaVar = "REVISION", usage = "only changes after this (default 0)")
  private long from;

  @Option(name = "--count", metaVar = "N", usage = "stop after this many changes")
  private long count = Long.MAX_VALUE;

  @Override
  int run(OperatorClient client) throws Exception {
    long printed = 0;
    while (printed < count) {
      JsonNode changes = next(client);
      for (int index = 0; index < changes.size() && printed < count; index++) {
        print(changes.get(index));
        from = changes.get(index).path("revision").asLong();
        printed++;
      }
    }
    return OK;
  }

  /** Retries after a failure; the revision allows resuming at any instance. */
  private JsonNode next(OperatorClient client) throws Exception {
    while (true) {
      try {
        HttpReply reply = client.changes(from, WAIT_MS).get();
        return checked(reply).path("changes");
      } catch (ExecutionException | IllegalStateException ex) {
        System.err.println("watch: " + ex.getMessage() + "; trying again");
        Thread.sleep(RETRY_MS);
      }
    }
  }

  private void print(JsonNode change) {
    System.out.println(
        wantsJson()
            ? change.toString()
            : change.path("revision").asText()
                + " "
                + change.path("operation").asText()
                + " "
                + change.path("kind").asText()
                + "/"
                + change.path("name").asText()
                + " by "
                + change.path("who").asText());
  }
}
