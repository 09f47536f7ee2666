package io.mothrill.daemon;

import io.mothrill.daemon.cli.ApplyCommand;
import io.mothrill.daemon.cli.AuditCommand;
import io.mothrill.daemon.cli.CheckSettingsCommand;
import io.mothrill.daemon.cli.Command;
import io.mothrill.daemon.cli.CommandLine;
import io.mothrill.daemon.cli.DeleteCommand;
import io.mothrill.daemon.cli.EvacuateCommand;
import io.mothrill.daemon.cli.GetCommand;
import io.mothrill.daemon.cli.ServeCommand;
import io.mothrill.daemon.cli.TeamKeyCommand;
import io.mothrill.daemon.cli.WatchCommand;
import io.mothrill.daemon.explain.ExplainCommand;
import java.util.Map;
import java.util.function.Supplier;

/** The main class of {@code mothrill}. */
public final class Mothrill {

  private static final Map<String, Supplier<Command>> COMMANDS =
      Map.of(
          "serve",
          ServeCommand::new,
          "check-settings",
          CheckSettingsCommand::new,
          "explain",
          ExplainCommand::new,
          "team-key",
          TeamKeyCommand::new,
          "apply",
          ApplyCommand::new,
          "get",
          GetCommand::new,
          "watch",
          WatchCommand::new,
          "delete",
          DeleteCommand::new,
          "evacuate",
          EvacuateCommand::new,
          "audit",
          AuditCommand::new);

  private Mothrill() {}

  /**
   * Runs a command.
   *
   * @param args the name of the command and its arguments
   */
  public static void main(String[] args) {
    System.exit(new CommandLine("mothrill", COMMANDS, System.err).run(args));
  }
}
