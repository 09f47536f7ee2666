package io.mothrill.core.forward.load;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against new decisions in deployments that do not ask for them. */
class LoadFeaturesTest {

  @Test
  void nothingIsActiveByDefault() {
    assertThat(LoadFeatures.onDemand().isActive("asistan")).isFalse();
  }

  @Test
  void settingsActivateAllServices() {
    assertThat(LoadFeatures.of(true).isActive("asistan")).isTrue();
  }

  @Test
  void announcedContentionActivatesOnlyItsService() {
    LoadFeatures features = LoadFeatures.onDemand();

    features.onContentionAnnounced("asistan");

    assertThat(features.isActive("asistan")).isTrue();
    assertThat(features.isActive("sira")).isFalse();
  }
}
