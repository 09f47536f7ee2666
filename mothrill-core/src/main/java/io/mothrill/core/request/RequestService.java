package io.mothrill.core.request;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.drain.DrainStage;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Runs requests, and knows which of them are still under way. */
public final class RequestService {

  private final ExchangeContext context;
  private final PublishedValue<DrainStage> drain;
  private final Set<Exchange> inFlight = ConcurrentHashMap.newKeySet();

  /**
   * Creates the service.
   *
   * @param context what requests need
   * @param drain whether new requests are still taken
   */
  public RequestService(ExchangeContext context, PublishedValue<DrainStage> drain) {
    this.context = context;
    this.drain = drain;
  }

  /**
   * Runs a request.
   *
   * @param request the request
   * @param caller the way back
   * @return the request under way
   */
  public Exchange run(CallRequest request, CallerStream caller) {
    Exchange exchange = new Exchange(context, request, caller, inFlight::remove);
    inFlight.add(exchange);
    if (drain.read().refusesNew()) {
      inFlight.remove(exchange);
      caller.identify("", "");
      caller.refuse(Refusal.draining());
    } else {
      caller.execute(exchange::start);
    }
    return exchange;
  }

  /**
   * Counts the requests under way.
   *
   * @return requests whose callers do not have the whole answer yet
   */
  public int inFlightCount() {
    return inFlight.size();
  }
}
