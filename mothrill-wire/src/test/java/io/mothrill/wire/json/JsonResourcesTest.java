package io.mothrill.wire.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.mothrill.core.error.InvalidInputException;
import io.mothrill.core.resource.BudgetSpec;
import io.mothrill.core.resource.EvacuationSpec;
import io.mothrill.core.resource.Resource;
import io.mothrill.core.resource.TopUp;
import java.util.List;
import org.junit.jupiter.api.Test;

class JsonResourcesTest {

  private final JsonResources codec = new JsonResources();

  @Test
  void roundTripsBudget() {
    // GIVEN
    BudgetSpec spec = new BudgetSpec("branch", List.of("asistan"), List.of(new TopUp("t1", 5)));
    Resource resource = new Resource("b", 7, spec);
    // THEN
    assertThat(codec.decode(codec.encode(resource))).isEqualTo(resource);
  }

  @Test
  void roundTripsEvacuation() {
    // GIVEN
    Resource resource = new Resource("ankara-a", 7, new EvacuationSpec());
    // THEN
    assertThat(codec.decode(codec.encode(resource))).isEqualTo(resource);
  }

  @Test
  void reportsEveryInvalidFieldWithItsPath() {
    // GIVEN
    String text =
        """
        {"apiVersion": "mothrill.io/v1", "kind": "Budget", "metadata": {"name": "a b"},
         "spec": {"team": "t", "topUps": [{"id": "x", "tokens": 0}], "colour": "red"}}
        """;
    // WHEN
    InvalidInputException error =
        assertThrows(
            InvalidInputException.class, () -> JsonResources.readManifest(Json.read(text)));
    // THEN
    assertThat(error.errors().stream().map(found -> found.path()))
        .containsExactly("metadata.name", "spec.topUps[0].tokens", "spec.colour");
  }

  @Test
  void reportsPositionOfSyntaxError() {
    // WHEN
    InvalidInputException error =
        assertThrows(InvalidInputException.class, () -> Json.read("{\"kind\": }"));
    // THEN
    assertThat(error).hasMessageThat().contains("line 1, column");
  }
}
