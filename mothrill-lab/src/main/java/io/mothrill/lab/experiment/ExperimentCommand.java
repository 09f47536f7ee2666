package io.mothrill.lab.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import io.mothrill.daemon.cli.Command;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Supplier;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code mothrill lab experiment}: runs an experiment and prints its measurements. */
public final class ExperimentCommand implements Command {

  private static final Map<String, Supplier<Experiment>> EXPERIMENTS =
      Map.of(
          "budgets", BudgetExperiment::new,
          "overhead", OverheadExperiment::new,
          "outage", OutageExperiment::new,
          "capacity", CapacityExperiment::new);

  @Argument(required = true, metaVar = "NAME", usage = "budgets, overhead, outage or capacity")
  private String name;

  @Option(name = "--json", metaVar = "FILE", usage = "write the figures to a file")
  private String json = "";

  @Override
  public int run() throws IOException {
    Supplier<Experiment> experiment = EXPERIMENTS.get(name);
    if (experiment == null) {
      String known = String.join(", ", EXPERIMENTS.keySet().stream().sorted().toList());
      throw InvalidInputException.of(FieldError.refused("NAME", "must be one of " + known));
    }
    ObjectNode figures = experiment.get().run();
    if (!json.isEmpty()) {
      Files.writeString(Path.of(json), figures.toPrettyString());
    }
    return OK;
  }
}
