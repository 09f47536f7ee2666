package io.mothrill.lab.scenario;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.mothrill.core.error.InvalidInputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

class ScenariosTest {

  private static final long SEED = 1;

  @TestFactory
  Stream<DynamicTest> everyScenarioPasses() throws IOException {
    try (Stream<Path> files = Files.list(Path.of("../scenarios"))) {
      List<Path> scenarios = files.sorted().toList();
      assertThat(scenarios).isNotEmpty();
      return scenarios.stream()
          .map(file -> DynamicTest.dynamicTest(file.getFileName().toString(), () -> run(file)));
    }
  }

  private static void run(Path file) throws IOException {
    Scenario scenario = Scenario.parse(Files.readString(file));
    assertThat(scenario.expectationCount()).isGreaterThan(0);
    scenario.run(SEED);
  }

  @Test
  void unmetExpectationIsReportedWithItsLine() {
    // GIVEN
    Scenario scenario = Scenario.parse("start a-1 a\nexpect revision a-1 = 5");
    // WHEN
    ScenarioFailure failure = assertThrows(ScenarioFailure.class, () -> scenario.run(SEED));
    // THEN
    assertThat(failure).hasMessageThat().contains("line 2");
    assertThat(failure).hasMessageThat().contains("found 0");
  }

  @Test
  void unknownStepIsRejectedWithItsLine() {
    // WHEN
    InvalidInputException error =
        assertThrows(InvalidInputException.class, () -> Scenario.parse("start a-1 a\njump"));
    // THEN
    assertThat(error).hasMessageThat().contains("line 2");
  }
}
