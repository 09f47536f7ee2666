package io.mothrill.daemon.explain;

import io.mothrill.daemon.cli.Command;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * {@code mothrill explain}: explains a request's outcome from the logs of one or more instances.
 *
 * <pre>{@code
 * mothrill explain --log edge-1.log --log edge-2.log 9c41d07be2a35f68
 * }</pre>
 */
public final class ExplainCommand implements Command {

  @Option(name = "--log", required = true, metaVar = "FILE", usage = "an instance's log; repeat")
  private List<String> logs = new ArrayList<>();

  @Argument(required = true, metaVar = "ID", usage = "the request's id")
  private String requestId;

  @Override
  public int run() throws IOException {
    MergedLog log = MergedLog.read(logs.stream().map(Path::of).toList());
    if (log.unreadableCount() > 0) {
      System.out.println(log.unreadableCount() + " lines are not mothrill's and were passed over");
    }
    List<String> explanation = new Explanation(log).explain(requestId);
    explanation.forEach(System.out::println);
    if (explanation.isEmpty()) {
      System.out.println(
          "no line is about "
              + requestId
              + ": another instance had it, it never arrived, or its line was left out (requests"
              + " that went well are sampled)");
      return FAILED;
    }
    return OK;
  }
}
