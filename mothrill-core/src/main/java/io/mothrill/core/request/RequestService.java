package io.mothrill.core.request;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.drain.DrainStage;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Runs requests and tracks those in flight. */
public final class RequestService {

  private final ExchangeContext context;
  private final PublishedValue<DrainStage> drain;
  private final Set<Exchange> inFlight = ConcurrentHashMap.newKeySet();

  /**
   * Creates the service.
   *
   * @param context the collaborators of an exchange
   * @param drain the drain stage, which determines whether new requests are accepted
   */
  public RequestService(ExchangeContext context, PublishedValue<DrainStage> drain) {
    this.context = context;
    this.drain = drain;
  }

  /**
   * Runs a request.
   *
   * @param request the request
   * @param caller the stream on which the request is answered
   * @return the exchange, in flight or refused
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
   * Returns the number of requests in flight.
   *
   * @return the number of requests whose callers have not received the complete answer yet
   */
  public int inFlightCount() {
    return inFlight.size();
  }
}
