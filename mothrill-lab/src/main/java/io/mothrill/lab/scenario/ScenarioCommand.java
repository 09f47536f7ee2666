package io.mothrill.lab.scenario;

import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import io.mothrill.daemon.cli.Command;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code mothrill lab scenario}: runs scenarios and prints which of them failed. */
public final class ScenarioCommand implements Command {

  @Argument(required = true, metaVar = "FILE", usage = "scenario files")
  private List<String> files;

  @Option(name = "--seed", metaVar = "N", usage = "makes every random choice (default 1)")
  private long seed = 1;

  @Override
  public int run() {
    long failed = files.stream().filter(file -> !passes(file)).count();
    System.out.println((files.size() - failed) + " passed, " + failed + " failed");
    return failed == 0 ? OK : FAILED;
  }

  private boolean passes(String file) {
    Scenario scenario = Scenario.parse(read(file));
    try {
      scenario.run(seed);
      System.out.println("ok     " + file + " (" + scenario.expectationCount() + " expectations)");
      return true;
    } catch (ScenarioFailure ex) {
      System.out.println("FAILED " + file + " " + ex.getMessage() + " (seed " + seed + ")");
      return false;
    }
  }

  private static String read(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException ex) {
      throw InvalidInputException.of(FieldError.refused(file, "cannot be read"));
    }
  }
}
