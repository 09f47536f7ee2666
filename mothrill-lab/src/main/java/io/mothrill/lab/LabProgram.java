package io.mothrill.lab;

import io.mothrill.daemon.cli.Command;
import io.mothrill.daemon.cli.CommandLine;
import io.mothrill.lab.demo.DemoCommand;
import io.mothrill.lab.experiment.ExperimentCommand;
import io.mothrill.lab.explore.ExploreCommand;
import io.mothrill.lab.load.LoadCommand;
import io.mothrill.lab.scenario.ScenarioCommand;
import io.mothrill.lab.standin.EngineCommand;
import io.mothrill.lab.standin.PlainCommand;
import io.mothrill.lab.standin.PlatformCommand;
import java.util.Arrays;
import java.util.Map;
import java.util.function.Supplier;

/** The main class of {@code mothrill demo} and {@code mothrill lab}. */
public final class LabProgram {

  private static final Map<String, Supplier<Command>> COMMANDS =
      Map.of(
          "platform", PlatformCommand::new,
          "engine", EngineCommand::new,
          "plain", PlainCommand::new,
          "scenario", ScenarioCommand::new,
          "explore", ExploreCommand::new,
          "experiment", ExperimentCommand::new,
          "load", LoadCommand::new);

  private LabProgram() {}

  /**
   * Runs a command.
   *
   * @param args {@code demo}, or {@code lab} followed by a command name and its arguments
   */
  public static void main(String[] args) {
    boolean lab = args.length > 0 && args[0].equals("lab");
    int code =
        lab
            ? new CommandLine("mothrill lab", COMMANDS, System.err)
                .run(Arrays.copyOfRange(args, 1, args.length))
            : new CommandLine("mothrill", Map.of("demo", DemoCommand::new), System.err).run(args);
    System.exit(code);
  }
}
