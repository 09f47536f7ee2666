package io.mothrill.core.forward.stream;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.Optional;

/** Keeps one answer at the version of its first event; confined to the caller's event loop. */
public final class FirstEventPin implements StreamPin {

  private Optional<String> required = Optional.empty();

  @Override
  public void onSent(RegisteredUpstream upstream) {}

  @Override
  public void onFirstEvent(RegisteredUpstream upstream) {
    required = Optional.of(upstream.version());
  }

  @Override
  public Optional<String> requiredVersion() {
    return required;
  }
}
