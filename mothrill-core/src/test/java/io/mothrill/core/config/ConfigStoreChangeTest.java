package io.mothrill.core.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.mothrill.core.budget.BudgetRow;
import io.mothrill.core.budget.BudgetTables;
import io.mothrill.core.config.error.ConfigException;
import io.mothrill.core.error.Failures;
import io.mothrill.core.error.InvalidInputException;
import io.mothrill.core.fake.FakeTable;
import io.mothrill.core.fake.Fault;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.resource.BudgetSpec;
import io.mothrill.core.resource.Resource;
import io.mothrill.core.resource.ResourceCodec;
import io.mothrill.core.resource.ResourceKind;
import io.mothrill.core.resource.Spec;
import io.mothrill.core.resource.TeamSpec;
import io.mothrill.core.resource.TopUp;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

class ConfigStoreChangeTest {

  private final ManualTimers timers = new ManualTimers();
  private final FakeTable table = new FakeTable(timers);
  private final ConfigStore store = new ConfigStore(table, new ListCodec(), timers);

  /** Keeps resources in a list and serializes them as their index. */
  private static final class ListCodec implements ResourceCodec {
    private final List<Resource> written = new ArrayList<>();

    @Override
    public String encode(Resource resource) {
      written.add(resource);
      return String.valueOf(written.size() - 1);
    }

    @Override
    public Resource decode(String text) {
      return written.get(Integer.parseInt(text));
    }
  }

  private CompletableFuture<Change> apply(String name, Spec spec, long version, String changeId) {
    OptionalLong expected = version < 0 ? OptionalLong.empty() : OptionalLong.of(version);
    return store.change(
        new ChangeRequest(spec.kind(), name, Optional.of(spec), expected, changeId, "operator"));
  }

  private static TeamSpec team(int weight) {
    return new TeamSpec(List.of(), weight);
  }

  private static BudgetSpec budget(TopUp... topUps) {
    return new BudgetSpec("branch", List.of(), List.of(topUps));
  }

  @Test
  void acceptsOneOfTwoConcurrentChanges() {
    // GIVEN
    long version = apply("branch", team(1), 0, "c1").join().revision();
    // WHEN
    var first = apply("branch", team(2), version, "c2");
    var second = apply("branch", team(3), version, "c3");
    // THEN
    assertThat(first.join().revision()).isEqualTo(version + 1);
    CompletionException error = assertThrows(CompletionException.class, second::join);
    ConfigException refused = (ConfigException) Failures.unwrap(error);
    assertThat(refused.code()).isEqualTo("conflict");
    assertThat(refused.current().orElseThrow().spec()).isEqualTo(team(2));
  }

  // Guards against crediting a top-up twice: the change takes effect, but its response is lost, and
  // the operator sends it again with the same change id.
  @Test
  void acceptsChangeOnceWhenItsResponseWasLost() {
    // GIVEN
    var team = apply("branch", team(1), -1, "c1").join();
    table.faults().setFault(Fault.ANSWER_LOST);
    var lost = apply("b", budget(new TopUp("t1", 500)), -1, "c2");
    assertThat(lost.isCompletedExceptionally()).isTrue();
    // WHEN
    table.faults().setFault(Fault.NONE);
    Change again = apply("b", budget(new TopUp("t1", 500)), -1, "c2").join();
    // THEN
    assertThat(again.revision()).isEqualTo(team.revision() + 1);
    assertThat(paidTokens()).isEqualTo(500);
  }

  @Test
  void creditsEachTopUpOnceByItsId() {
    // GIVEN
    var team = apply("branch", team(1), -1, "c1").join();
    // WHEN
    var one = apply("b", budget(new TopUp("t1", 500)), -1, "c2").join();
    var two = apply("b", budget(new TopUp("t1", 500), new TopUp("t2", 70)), -1, "c3").join();
    var three = apply("b", budget(new TopUp("t2", 70)), -1, "c4").join();
    // THEN
    assertThat(List.of(team, one, two, three)).hasSize(4);
    assertThat(paidTokens()).isEqualTo(570);
  }

  @Test
  void rejectsTopUpIdReusedWithAnotherAmount() {
    // GIVEN
    var team = apply("branch", team(1), -1, "c1").join();
    var first = apply("b", budget(new TopUp("t1", 500)), -1, "c2").join();
    // WHEN
    var changed = apply("b", budget(new TopUp("t1", 900)), -1, "c3");
    // THEN
    assertThat(List.of(team, first)).hasSize(2);
    assertThat(messageOf(changed)).contains("spec.topUps[0].tokens");
  }

  @Test
  void reportsFieldThatRefersToMissingResource() {
    // WHEN
    var refused = apply("b", budget(new TopUp("t1", 500)), -1, "c1");
    // THEN
    assertThat(messageOf(refused)).contains("spec.team");
  }

  @Test
  void rejectsDeletionOfReferencedResource() {
    // GIVEN
    var team = apply("branch", team(1), -1, "c1").join();
    var budget = apply("b", budget(new TopUp("t1", 500)), -1, "c2").join();
    // WHEN
    var refused =
        store.change(
            new ChangeRequest(
                ResourceKind.TEAM,
                "branch",
                Optional.empty(),
                OptionalLong.empty(),
                "c3",
                "operator"));
    // THEN
    assertThat(List.of(team, budget)).hasSize(2);
    CompletionException error = assertThrows(CompletionException.class, refused::join);
    assertThat(((ConfigException) Failures.unwrap(error)).code()).isEqualTo("in_use");
  }

  private static String messageOf(CompletableFuture<?> refused) {
    CompletionException error = assertThrows(CompletionException.class, refused::join);
    assertThat(Failures.unwrap(error)).isInstanceOf(InvalidInputException.class);
    return Failures.unwrap(error).getMessage();
  }

  private long paidTokens() {
    return BudgetRow.of(table.read(List.of(BudgetTables.budget("b"))).join().get(0)).paidTokens();
  }
}
