package io.mothrill.core.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * Dispatches requests from peers to the handlers that are registered for their types.
 *
 * <pre>{@code
 * dispatcher.on(PeerMessage.HandBack.class, lender::onHandBack);
 * }</pre>
 */
public final class PeerDispatcher {

  private final Map<Class<?>, Function<PeerMessage, CompletableFuture<PeerMessage>>> handlers =
      new ConcurrentHashMap<>();

  /**
   * Registers the handler of a type of request.
   *
   * @param type the class of the request
   * @param handler returns the reply
   * @param <T> the type of the request
   */
  public <T extends PeerMessage> void on(
      Class<T> type, Function<T, CompletableFuture<PeerMessage>> handler) {
    handlers.put(type, request -> handler.apply(type.cast(request)));
  }

  /**
   * Dispatches a request to its handler.
   *
   * @param request the request
   * @return the reply; never fails
   */
  public CompletableFuture<PeerMessage> dispatch(PeerMessage request) {
    var handler = handlers.get(request.getClass());
    if (handler == null) {
      return refused("no part serves " + request.getClass().getSimpleName());
    }
    try {
      return handler
          .apply(request)
          .exceptionally(error -> new PeerMessage.Refused(String.valueOf(error.getMessage())));
    } catch (RuntimeException ex) {
      return refused(String.valueOf(ex.getMessage()));
    }
  }

  private static CompletableFuture<PeerMessage> refused(String reason) {
    return CompletableFuture.completedFuture(new PeerMessage.Refused(reason));
  }
}
