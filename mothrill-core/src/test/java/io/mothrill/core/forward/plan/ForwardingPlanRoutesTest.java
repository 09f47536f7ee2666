package io.mothrill.core.forward.plan;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ForwardingPlanRoutesTest {

  private static Route route(String name, String prefix, WeightedService... targets) {
    return new Route(
        name,
        "hall.example",
        prefix,
        RouteKind.IDEMPOTENT,
        List.of(targets),
        1_000,
        300,
        OptionalLong.empty(),
        1,
        2,
        RegionRestriction.unrestricted(),
        false);
  }

  private static final WeightedService MOST = new WeightedService("sira", 90);
  private static final WeightedService FEW = new WeightedService("sira-next", 10);

  private final ForwardingPlan plan =
      new ForwardingPlan(
          7,
          List.of(route("all", "/", MOST), route("desk", "/desk/", MOST, FEW)),
          List.of(),
          List.of(
              new TeamPlan(
                  "branch",
                  List.of("a", "b"),
                  OptionalInt.empty(),
                  OptionalLong.empty(),
                  RegionRestriction.unrestricted())),
          CallerBounds.standard());

  private String nameFor(String path) {
    return plan.findRoute("hall.example", path).map(Route::name).orElse("none");
  }

  @Test
  void theLongestPrefixWins() {
    assertThat(nameFor("/desk/7")).isEqualTo("desk");
    assertThat(nameFor("/desks")).isEqualTo("all");
  }

  @Test
  void otherHostsHaveNoRoute() {
    assertThat(plan.findRoute("other.example", "/desk/7").isPresent()).isFalse();
  }

  @Test
  void weightsSplitRoute() {
    Route desk = plan.findRoute("hall.example", "/desk/7").orElseThrow();

    assertThat(desk.selectService(0)).isEqualTo("sira");
    assertThat(desk.selectService(0.89)).isEqualTo("sira");
    assertThat(desk.selectService(0.91)).isEqualTo("sira-next");
    assertThat(desk.selectService(0.999)).isEqualTo("sira-next");
  }

  @Test
  void findsTeamByKey() {
    assertThat(plan.findTeamByKey("b").orElseThrow().name()).isEqualTo("branch");
    assertThat(plan.findTeamByKey("c").isPresent()).isFalse();
  }

  @Test
  void initialPlanIsNotKnown() {
    assertThat(ForwardingPlan.unknown().isKnown()).isFalse();
    assertThat(plan.isKnown()).isTrue();
  }
}
