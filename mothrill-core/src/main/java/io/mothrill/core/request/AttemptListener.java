package io.mothrill.core.request;

import io.mothrill.core.routing.LoadReport;
import io.mothrill.core.routing.UpstreamState;
import io.mothrill.core.upstream.UpstreamFailure;
import io.mothrill.core.upstream.UpstreamListener;
import io.mothrill.core.upstream.Usage;

/**
 * Listens to one attempt and notifies the exchange on the caller's executor while the attempt is
 * the current one.
 */
final class AttemptListener implements UpstreamListener {

  private final Exchange exchange;
  private final CallerStream caller;
  private final int number;
  private final UpstreamState upstream;

  AttemptListener(Exchange exchange, CallerStream caller, int number, UpstreamState upstream) {
    this.exchange = exchange;
    this.caller = caller;
    this.number = number;
    this.upstream = upstream;
  }

  private void ifCurrent(Runnable step) {
    caller.execute(
        () -> {
          if (exchange.isCurrent(number)) {
            step.run();
          }
        });
  }

  @Override
  public void onHead(int status, String contentType) {
    ifCurrent(() -> exchange.head(status, contentType));
  }

  @Override
  public void onChunk(byte[] bytes, Usage used) {
    ifCurrent(() -> exchange.chunk(bytes, used));
  }

  @Override
  public void onEnd() {
    ifCurrent(exchange::end);
  }

  @Override
  public void onFailure(UpstreamFailure failure) {
    ifCurrent(() -> exchange.attemptFailed(failure));
  }

  @Override
  public void onLoad(LoadReport report) {
    upstream.report(report);
  }

  @Override
  public void onLeaving() {
    upstream.markLeaving();
  }
}
