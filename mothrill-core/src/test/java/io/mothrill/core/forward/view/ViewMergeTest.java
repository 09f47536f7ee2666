package io.mothrill.core.forward.view;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.view.table.RowValue;
import io.mothrill.core.forward.view.table.StoredRow;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.TableState;
import io.mothrill.core.forward.view.table.ViewTable;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

// Guards against instances that put a damaged, incomplete or older table of another instance in
// force.
class ViewMergeTest {

  private final ManualTimers timers = new ManualTimers();
  private final PublishedValue<ForwardingPlan> plan =
      new PublishedValue<>(ForwardingPlan.unknown());
  private final PublishedValue<Set<String>> evacuated = new PublishedValue<>(Set.of());
  private final MemoryStore store = new MemoryStore(timers);
  private final ViewController view;

  ViewMergeTest() {
    store.declarePlan(3);
    this.view =
        new ViewController(
            store,
            new MemoryStore.Decoder(),
            plan,
            evacuated,
            new PublishedValue<>(UpstreamList.empty()),
            () -> 2,
            store,
            timers,
            new Random(1),
            new ViewSettings(500, 500, 2_500, 1_000));
    view.start();
  }

  private boolean merge(long version, String planText, Set<String> keys) {
    StoredRow row =
        new StoredRow("config", version, RowValue.of(planText.getBytes(StandardCharsets.UTF_8)));
    return view.merge(
        ViewTable.CONFIG,
        TableRead.difference(
            new TableState(ViewTable.CONFIG, version, version, 1_000), List.of(row), keys),
        timers.nowMs());
  }

  @Test
  void newerPlanOfAnotherInstanceIsInForce() {
    assertThat(merge(90, "4", Set.of("config"))).isTrue();

    assertThat(plan.read().version()).isEqualTo(4);
  }

  @Test
  void malformedPlanOfAnotherInstanceIsRefused() {
    assertThat(merge(90, "not a plan", Set.of("config"))).isFalse();

    assertThat(plan.read().version()).isEqualTo(3);
    assertThat(view.state(ViewTable.CONFIG).version()).isLessThan(90);
  }

  @Test
  void tableWithoutAllOfItsRowsIsNotApplied() {
    assertThat(merge(90, "4", Set.of("config", "evacuate/konya"))).isFalse();

    assertThat(plan.read().version()).isEqualTo(3);
    assertThat(view.state(ViewTable.CONFIG).version()).isLessThan(90);
  }

  @Test
  void olderTableOfAnotherInstanceIsIgnored() {
    store.evacuate("konya");
    timers.advanceMs(500);

    merge(1, "3", Set.of("config"));

    assertThat(evacuated.read()).containsExactly("konya");
  }
}
