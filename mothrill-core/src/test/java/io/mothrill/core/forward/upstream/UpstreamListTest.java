package io.mothrill.core.forward.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class UpstreamListTest {

  private static RegisteredUpstream upstream(String id, String host) {
    return new RegisteredUpstream(
        id, "sira", host, 80, "konya", 6, false, OptionalLong.empty(), RegistrationVersion.UNKNOWN);
  }

  private final UpstreamList earlier =
      new UpstreamList(List.of(upstream("i-1", "10.0.0.1"), upstream("i-2", "10.0.0.2")));

  @Test
  void keepsMissingUpstreamsAfterAnOutage() {
    UpstreamList kept =
        new UpstreamList(List.of(upstream("i-2", "10.0.0.2"))).withMissingFrom(earlier);

    assertThat(kept.acceptingFor("sira").stream().map(RegisteredUpstream::id))
        .containsExactly("i-1", "i-2");
  }

  // The address of an upstream is used by another one: the first has certainly terminated.
  @Test
  void doesNotKeepUpstreamWhoseAddressIsReused() {
    UpstreamList kept =
        new UpstreamList(List.of(upstream("i-9", "10.0.0.1"))).withMissingFrom(earlier);

    assertThat(kept.contains("i-1")).isFalse();
    assertThat(kept.contains("i-2")).isTrue();
  }
}
