package io.mothrill.core.request;

import io.mothrill.core.board.Section;
import io.mothrill.core.drain.DrainStage;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Runs requests, and knows which of them are still under way. */
public final class RequestService {

  private final ExchangeParts parts;
  private final Section<DrainStage> drain;
  private final Set<Exchange> underWay = ConcurrentHashMap.newKeySet();

  /**
   * Creates the service.
   *
   * @param parts what requests need
   * @param drain whether new requests are still taken
   */
  public RequestService(ExchangeParts parts, Section<DrainStage> drain) {
    this.parts = parts;
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
    Exchange exchange = new Exchange(parts, request, caller, underWay::remove);
    underWay.add(exchange);
    if (drain.read().refusesNew()) {
      underWay.remove(exchange);
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
  public int underWayCount() {
    return underWay.size();
  }
}
