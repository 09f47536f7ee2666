package io.mothrill.daemon.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.mothrill.core.error.InvalidInputException;
import io.mothrill.core.node.NodeSettings;
import io.mothrill.wire.json.Json;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {

  private static final String MINIMAL =
      """
      {"instance": {"id": "konya-1", "domain": "konya"},
       "ports": {"caller": 1, "operator": 2, "ops": 3, "peer": 4},
       "platform": {"host": "127.0.0.1", "port": 9000}}
      """;

  @Test
  void usesDefaultsForMissingFields() {
    assertThat(SettingsReader.read(Json.read(MINIMAL)).node()).isEqualTo(NodeSettings.standard());
  }

  @Test
  void reportsUnknownMistypedMissingAndOutOfRangeFields() {
    // GIVEN
    String text =
        """
        {"instance": {"id": "konya-1"},
         "ports": {"caller": "x", "operator": 2, "ops": 3, "peer": 70000},
         "platform": {"host": "127.0.0.1", "port": 9000, "user": "root"}}
        """;
    // WHEN
    InvalidInputException error =
        assertThrows(InvalidInputException.class, () -> SettingsReader.read(Json.read(text)));
    // THEN
    assertThat(error.errors().stream().map(found -> found.path()))
        .containsExactly("instance.domain", "ports.caller", "ports.peer", "platform.user");
  }

  @Test
  void rejectsMarginNotBelowLease() {
    // GIVEN
    String text =
        MINIMAL.strip().replaceFirst("}$", ", \"budgets\": {\"leaseMs\": 5, \"marginMs\": 9}}");
    // WHEN
    InvalidInputException error =
        assertThrows(InvalidInputException.class, () -> SettingsReader.read(Json.read(text)));
    // THEN
    assertThat(error).hasMessageThat().contains("budgets.marginMs: must be less than leaseMs");
  }
}
