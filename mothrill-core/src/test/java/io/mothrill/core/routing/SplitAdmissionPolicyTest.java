package io.mothrill.core.routing;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.UpstreamSpec;
import org.junit.jupiter.api.Test;

class SplitAdmissionPolicyTest {

  private final SplitAdmissionPolicy policy = new SplitAdmissionPolicy(0.3, 0.1, 1_000);
  private final UpstreamState upstream =
      new UpstreamState("e1", new UpstreamSpec("asistan", "127.0.0.1", 1, "konya", 10, false));

  private void begin(Priority priority, int calls) {
    for (int call = 0; call < calls; call++) {
      upstream.beginCall(priority);
    }
  }

  // Guards against urgent calls that wait because long batch calls fill all slots of an upstream.
  @Test
  void keepsSlotsForUrgentCallsWhenBatchCallsFillTheRest() {
    // GIVEN
    begin(Priority.BATCH, 7);
    // THEN
    assertThat(policy.admits(upstream, AdmissionClass.BATCH, 0)).isFalse();
    assertThat(policy.admits(upstream, AdmissionClass.URGENT, 0)).isTrue();
  }

  @Test
  void keepsSlotForBatchCallsWhenUrgentCallsFillTheRest() {
    // GIVEN
    begin(Priority.URGENT, 9);
    // THEN
    assertThat(policy.admits(upstream, AdmissionClass.URGENT, 0)).isFalse();
    assertThat(policy.admits(upstream, AdmissionClass.BATCH, 0)).isTrue();
  }

  // Guards against aged batch calls that displace urgent calls: they get one more slot, not all
  // slots.
  @Test
  void admitsAgedBatchCallsToExactlyOneMoreSlot() {
    // GIVEN
    begin(Priority.BATCH, 7);
    // WHEN
    boolean eighth = policy.admits(upstream, AdmissionClass.AGED_BATCH, 0);
    begin(Priority.BATCH, 1);
    boolean ninth = policy.admits(upstream, AdmissionClass.AGED_BATCH, 0);
    // THEN
    assertThat(eighth).isTrue();
    assertThat(ninth).isFalse();
  }

  @Test
  void reducesWeightOfLoadReportWithItsAge() {
    // GIVEN
    upstream.report(new LoadReport(7, 0, false, 0));
    // THEN
    assertThat(policy.admits(upstream, AdmissionClass.BATCH, 0)).isFalse();
    assertThat(policy.admits(upstream, AdmissionClass.BATCH, 600)).isTrue();
  }
}
