package io.mothrill.wire.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.core.error.InvalidInputException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonTest {

  private static String roundTrip(String text) {
    return new String(Json.bytes(Json.read(text)), StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"a\":1,\"b\":[true,false,null],\"c\":{\"d\":\"x\\n\\u0001\"}}",
        "[1,-9223372036854775808,123456789012345678901234567890,1.5]",
        "\"text\"",
        "{}"
      })
  void roundTripsValues(String text) {
    assertThat(roundTrip(text)).isEqualTo(text);
  }

  @Test
  void preservesNumberTypes() {
    JsonNode numbers = Json.read("[7, 7000000000, 0.25]");

    assertThat(numbers.get(0).isInt()).isTrue();
    assertThat(numbers.get(1).asLong()).isEqualTo(7_000_000_000L);
    assertThat(numbers.get(2).isIntegralNumber()).isFalse();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "{\"a\":", "{} {}", "[1,]", "nul", "{\"a\" 1}", "[1"})
  void rejectsInvalidJson(String text) {
    assertThrows(InvalidInputException.class, () -> Json.read(text));
  }

  // Guards against a stack overflow on the event loop: malformed input opens thousands of nested
  // lists.
  @Test
  void rejectsDeeplyNestedInput() {
    assertThrows(InvalidInputException.class, () -> Json.read("[".repeat(100_000)));
  }
}
