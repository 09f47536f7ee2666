package io.mothrill.core.config;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.resource.Resource;
import io.mothrill.core.resource.ResourceKind;
import io.mothrill.core.resource.TeamSpec;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ConfigSnapshotWithTest {

  private static Change change(long revision, int weight) {
    TeamSpec spec = new TeamSpec(List.of(), weight);
    Resource resource = new Resource("branch", revision, spec);
    return new Change(
        revision, ResourceKind.TEAM, "branch", Optional.of(resource), "c" + revision, "op", 0);
  }

  // Guards against reverting the configuration: a peer that was partitioned for long sends old
  // changes.
  @Test
  void keepsNewerStateWhenOldChangesArrive() {
    // GIVEN
    ConfigSnapshot current = ConfigSnapshot.empty().with(List.of(change(1, 1), change(2, 2)));
    // WHEN
    ConfigSnapshot after = current.with(List.of(change(1, 1)));
    // THEN
    assertThat(after.revision()).isEqualTo(2);
    assertThat(after.team("branch").orElseThrow().weight()).isEqualTo(2);
  }
}
