package io.mothrill.wire.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.config.Change;
import io.mothrill.core.config.ChangeRequest;
import io.mothrill.core.config.ConfigSnapshot;
import io.mothrill.core.config.ConfigStore;
import io.mothrill.core.config.error.ConfigException;
import io.mothrill.core.error.Failures;
import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import io.mothrill.core.peer.MembershipController;
import io.mothrill.core.resource.Resource;
import io.mothrill.core.resource.ResourceKind;
import io.mothrill.core.resource.Spec;
import io.mothrill.core.routing.RecentDecisions;
import io.mothrill.core.time.Timers;
import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.http.HttpServerRequest;
import io.mothrill.wire.http.HttpService;
import io.mothrill.wire.json.Json;
import io.mothrill.wire.json.JsonResources;
import io.mothrill.wire.json.JsonResources.Manifest;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

/**
 * Serves operators: {@code /apis/v1/{kind}/{name}} declares, reads and deletes resources, {@code
 * /apis/v1/changes} watches changes, and {@code /apis/v1/config} and {@code /apis/v1/decisions}
 * report the state of this instance.
 */
public final class OperatorService implements HttpService {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;
  private static final int MAX_CHANGES = 500;
  private static final long MAX_WAIT_MS = 30_000;
  private static final long WATCH_POLL_MS = 50;

  private final ConfigStore store;
  private final PublishedValue<ConfigSnapshot> config;
  private final MembershipController membership;
  private final ResourceStatus status;
  private final RecentDecisions decisions;
  private final Timers timers;

  /**
   * Creates the service.
   *
   * @param store accepts configuration changes
   * @param config the configuration in force on this instance
   * @param membership knows the configuration revisions of the peers
   * @param status provides the status of resources
   * @param decisions the recent routing decisions
   * @param timers the timer service
   */
  public OperatorService(
      ConfigStore store,
      PublishedValue<ConfigSnapshot> config,
      MembershipController membership,
      ResourceStatus status,
      RecentDecisions decisions,
      Timers timers) {
    this.store = store;
    this.config = config;
    this.membership = membership;
    this.status = status;
    this.decisions = decisions;
    this.timers = timers;
  }

  @Override
  public CompletableFuture<HttpReply> serve(HttpServerRequest request) {
    List<String> segments = request.segments();
    if (segments.size() < 3 || !request.path().startsWith("/apis/v1/")) {
      return reply(NOT_FOUND, error("not_found", "there is nothing at " + request.path()));
    }
    CompletableFuture<HttpReply> reply =
        switch (segments.get(2)) {
          case "config" -> reply(OK, configState());
          case "changes" -> changes(request);
          case "decisions" -> reply(OK, decisionsAbout(segments));
          default -> resources(request, segments);
        };
    return reply.exceptionally(OperatorService::refusal);
  }

  private static CompletableFuture<HttpReply> reply(int code, ObjectNode node) {
    return CompletableFuture.completedFuture(HttpReply.json(code, node));
  }

  private static ObjectNode error(String code, String message) {
    ObjectNode node = Json.object();
    node.putObject("error").put("code", code).put("message", message);
    return node;
  }

  private static HttpReply refusal(Throwable error) {
    Throwable cause = Failures.unwrap(error);
    if (cause instanceof ConfigException refused) {
      ObjectNode node = error(refused.code(), refused.getMessage());
      refused.current().ifPresent(current -> node.set("current", JsonResources.write(current)));
      return HttpReply.json(statusOf(refused.code()), node);
    }
    throw cause instanceof RuntimeException known ? known : new IllegalStateException(cause);
  }

  private static int statusOf(String code) {
    return switch (code) {
      case "not_found" -> NOT_FOUND;
      case "platform_unavailable" -> UNAVAILABLE;
      default -> CONFLICT;
    };
  }

  private ObjectNode configState() {
    ObjectNode node = Json.object().put("revision", config.read().revision());
    ObjectNode peers = node.putObject("peers");
    membership.peerRevisions().forEach(peers::put);
    return node;
  }

  private ObjectNode decisionsAbout(List<String> segments) {
    ObjectNode node = Json.object();
    ArrayNode list = node.putArray("decisions");
    String requestId = segments.size() > 3 ? segments.get(3) : "";
    decisions
        .forRequest(requestId)
        .forEach(
            decision ->
                list.addObject()
                    .put("upstream", decision.chosen())
                    .put("waitedMs", decision.waitedMs())
                    .put("candidates", decision.candidatesText()));
    return node;
  }

  /** Returns the changes after a revision, waiting for the next one when there is none. */
  private CompletableFuture<HttpReply> changes(HttpServerRequest request) {
    long after = queryNumber(request, "after", 0);
    long waitMs = Math.min(MAX_WAIT_MS, queryNumber(request, "waitMs", 0));
    CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    awaitChanges(after, timers.nowMs() + waitMs, reply);
    return reply;
  }

  private static long queryNumber(HttpServerRequest request, String name, long fallback) {
    String text = request.query(name, String.valueOf(fallback));
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException ex) {
      throw InvalidInputException.of(FieldError.wrongType(name, "a whole number"));
    }
  }

  private void awaitChanges(long after, long untilMs, CompletableFuture<HttpReply> reply) {
    if (config.read().revision() <= after && timers.nowMs() < untilMs) {
      timers.after(WATCH_POLL_MS, () -> awaitChanges(after, untilMs, reply));
      return;
    }
    var unused =
        store
            .changesAfter(after, MAX_CHANGES)
            .thenApply(OperatorService::changesReply)
            .whenComplete(
                (found, error) -> {
                  if (error == null) {
                    reply.complete(found);
                  } else {
                    reply.completeExceptionally(error);
                  }
                });
  }

  private static HttpReply changesReply(List<Change> changes) {
    ObjectNode node = Json.object();
    ArrayNode list = node.putArray("changes");
    changes.forEach(change -> list.add(changeNode(change)));
    return HttpReply.json(OK, node);
  }

  private static ObjectNode changeNode(Change change) {
    ObjectNode node =
        Json.object()
            .put("revision", change.revision())
            .put("kind", change.kind().title())
            .put("name", change.name())
            .put("operation", change.resource().isPresent() ? "apply" : "delete")
            .put("changeId", change.changeId())
            .put("who", change.who())
            .put("wallMs", change.wallMs());
    change.resource().ifPresent(resource -> node.set("resource", JsonResources.write(resource)));
    return node;
  }

  private CompletableFuture<HttpReply> resources(HttpServerRequest request, List<String> segments) {
    Optional<ResourceKind> kind = ResourceKind.find(segments.get(2));
    if (kind.isEmpty()) {
      return reply(NOT_FOUND, error("not_found", "there is no kind " + segments.get(2)));
    }
    String name = segments.size() > 3 ? segments.get(3) : "";
    return switch (request.method()) {
      case "GET" -> name.isEmpty() ? list(kind.get()) : get(kind.get(), name);
      case "PUT" -> put(request, kind.get(), name);
      case "DELETE" -> change(request, kind.get(), name, Optional.empty(), expected(request));
      default -> reply(METHOD_NOT_ALLOWED, error("method_not_allowed", request.method()));
    };
  }

  private static OptionalLong expected(HttpServerRequest request) {
    long version = queryNumber(request, "resourceVersion", -1);
    return version < 0 ? OptionalLong.empty() : OptionalLong.of(version);
  }

  private CompletableFuture<HttpReply> list(ResourceKind kind) {
    ObjectNode node = Json.object().put("revision", config.read().revision());
    ArrayNode items = node.putArray("items");
    List<CompletableFuture<ObjectNode>> written =
        config.read().list(kind).stream().map(this::withStatus).toList();
    return CompletableFuture.allOf(written.toArray(CompletableFuture[]::new))
        .thenApply(
            ignored -> {
              written.forEach(item -> items.add(item.join()));
              return HttpReply.json(OK, node);
            });
  }

  private CompletableFuture<HttpReply> get(ResourceKind kind, String name) {
    Optional<Resource> found = config.read().find(kind, name);
    return found.isEmpty()
        ? reply(NOT_FOUND, error("not_found", "there is no " + kind.title() + " named " + name))
        : withStatus(found.get()).thenApply(node -> HttpReply.json(OK, node));
  }

  private CompletableFuture<ObjectNode> withStatus(Resource resource) {
    ObjectNode node = JsonResources.write(resource);
    return status
        .of(resource)
        .thenApply(
            state -> {
              node.set("status", state);
              return node;
            });
  }

  private CompletableFuture<HttpReply> put(
      HttpServerRequest request, ResourceKind kind, String name) {
    Manifest manifest = JsonResources.readManifest(Json.read(request.body()));
    if (manifest.kind() != kind || !manifest.name().equals(name)) {
      throw InvalidInputException.of(
          FieldError.refused("metadata.name", "does not match the address " + request.path()));
    }
    return change(request, kind, name, Optional.of(manifest.spec()), manifest.version());
  }

  private CompletableFuture<HttpReply> change(
      HttpServerRequest request,
      ResourceKind kind,
      String name,
      Optional<Spec> spec,
      OptionalLong expectedVersion) {
    String changeId = request.headers().get("mothrill-change-id", UUID.randomUUID().toString());
    String who = request.headers().get("mothrill-operator", "unknown");
    return store
        .change(new ChangeRequest(kind, name, spec, expectedVersion, changeId, who))
        .thenApply(change -> HttpReply.json(OK, changeNode(change)));
  }
}
