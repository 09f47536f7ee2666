package io.mothrill.daemon.cli;

import io.mothrill.core.error.Failures;
import io.mothrill.core.error.InvalidInputException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/**
 * Runs the command that is named by the first argument.
 *
 * <p>Exit codes: 0 success, 1 failure, 2 arguments or input rejected.
 */
public final class CommandLine {

  private final String program;
  private final Map<String, Supplier<Command>> commands;
  private final PrintStream err;

  /**
   * Creates the command line.
   *
   * @param program the name of the program, for usage messages
   * @param commands the commands by name
   * @param err the stream for errors and usage messages
   */
  public CommandLine(String program, Map<String, Supplier<Command>> commands, PrintStream err) {
    this.program = program;
    this.commands = Map.copyOf(commands);
    this.err = err;
  }

  /**
   * Runs a command.
   *
   * @param args the name of the command and its arguments
   * @return the exit code
   */
  public int run(String... args) {
    Supplier<Command> found = args.length == 0 ? null : commands.get(args[0]);
    if (found == null) {
      err.println("usage: " + program + " COMMAND [OPTIONS]");
      err.println("commands: " + String.join(", ", commands.keySet().stream().sorted().toList()));
      return Command.REFUSED;
    }
    Command command = found.get();
    CmdLineParser parser = new CmdLineParser(command);
    try {
      parser.parseArgument(Arrays.copyOfRange(args, 1, args.length));
    } catch (CmdLineException ex) {
      err.println(program + " " + args[0] + ": " + ex.getMessage());
      parser.printUsage(err);
      return Command.REFUSED;
    }
    return run(args[0], command);
  }

  private int run(String name, Command command) {
    try {
      return command.run();
    } catch (Exception ex) {
      Throwable cause = Failures.unwrap(ex);
      if (cause instanceof ExecutionException && cause.getCause() != null) {
        cause = cause.getCause();
      }
      if (cause instanceof InvalidInputException input) {
        input.errors().forEach(error -> err.println(name + ": " + error));
        return Command.REFUSED;
      }
      err.println(name + ": " + cause.getMessage());
      return Command.FAILED;
    }
  }
}
