package io.mothrill.wire.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.resource.BudgetSpec;
import io.mothrill.core.resource.EvacuationSpec;
import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.Resource;
import io.mothrill.core.resource.ResourceCodec;
import io.mothrill.core.resource.ResourceKind;
import io.mothrill.core.resource.ServiceSpec;
import io.mothrill.core.resource.ServiceType;
import io.mothrill.core.resource.Spec;
import io.mothrill.core.resource.TeamKey;
import io.mothrill.core.resource.TeamSpec;
import io.mothrill.core.resource.TopUp;
import io.mothrill.core.resource.UpstreamSpec;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

/** Parses and serializes resources in the JSON form that operators use. */
public final class JsonResources implements ResourceCodec {

  /** The API version of the resources. */
  public static final String API_VERSION = "mothrill.io/v1";

  private static final long MAX_TOKENS = 1_000_000_000_000_000L;
  private static final int MAX_PORT = 65_535;
  private static final long HOUR_MS = 3_600_000;
  private static final List<String> KINDS =
      List.of("Team", "Budget", "Service", "Upstream", "Evacuation");

  /**
   * A resource as declared by an operator.
   *
   * @param kind the kind
   * @param name the name
   * @param version the resource version that the declaration requires, if given
   * @param spec the declared spec
   */
  public record Manifest(ResourceKind kind, String name, OptionalLong version, Spec spec) {}

  /**
   * Parses a declared resource.
   *
   * @param node the JSON object
   * @return the manifest
   * @throws io.mothrill.core.error.InvalidInputException listing every invalid field
   */
  public static Manifest readManifest(JsonNode node) {
    JsonFields fields = JsonFields.of(node, "");
    String apiVersion = fields.choice("apiVersion", List.of(API_VERSION), API_VERSION);
    String kindName = fields.text("kind");
    Optional<ResourceKind> kind =
        KINDS.contains(kindName) ? ResourceKind.find(kindName) : Optional.empty();
    if (kind.isEmpty() || apiVersion.isEmpty()) {
      fields.refuse("kind", "must be one of " + String.join(", ", KINDS));
    }
    Metadata metadata = fields.object("metadata", JsonResources::readMetadata);
    Spec spec = readSpec(fields, kind.orElse(ResourceKind.TEAM));
    fields.has("status");
    fields.finish();
    return new Manifest(kind.orElseThrow(), metadata.name(), metadata.version(), spec);
  }

  private record Metadata(String name, OptionalLong version) {}

  private static Metadata readMetadata(JsonFields fields) {
    return new Metadata(
        fields.name("name"), fields.optionalNumber("resourceVersion", 0, Long.MAX_VALUE));
  }

  private static Spec readSpec(JsonFields fields, ResourceKind kind) {
    return switch (kind) {
      case TEAM -> fields.object("spec", JsonResources::readTeam);
      case BUDGET -> fields.object("spec", JsonResources::readBudget);
      case SERVICE -> fields.object("spec", JsonResources::readService);
      case UPSTREAM -> fields.object("spec", JsonResources::readUpstream);
      case EVACUATION -> fields.object("spec", spec -> new EvacuationSpec());
    };
  }

  private static Spec readTeam(JsonFields fields) {
    return new TeamSpec(
        fields.objects("keys", key -> new TeamKey(key.text("salt"), key.text("sha256"))),
        (int) fields.number("weight", 1, 1_000, 1));
  }

  private static Spec readBudget(JsonFields fields) {
    return new BudgetSpec(
        fields.name("team"),
        fields.texts("services"),
        fields.objects(
            "topUps", topUp -> new TopUp(topUp.name("id"), topUp.number("tokens", 1, MAX_TOKENS))));
  }

  private static Spec readService(JsonFields fields) {
    return new ServiceSpec(
        enumOf(ServiceType.class, fields.choice("type", List.of("model", "plain"), "model")),
        enumOf(Priority.class, fields.choice("priority", List.of("urgent", "batch"), "urgent")),
        fields.flag("repeatable", true),
        fields.number("maxOutputTokens", 1, 10_000_000, 4_096),
        fields.number("tokensPerCall", 0, MAX_TOKENS, 1),
        fields.number("timeoutMs", 1, HOUR_MS, 10 * 60_000));
  }

  private static Spec readUpstream(JsonFields fields) {
    return new UpstreamSpec(
        fields.name("service"),
        fields.text("host"),
        (int) fields.number("port", 1, MAX_PORT),
        fields.name("domain"),
        (int) fields.number("slots", 1, 100_000),
        fields.flag("leaving", false));
  }

  private static <E extends Enum<E>> E enumOf(Class<E> type, String word) {
    return Enum.valueOf(type, word.toUpperCase(Locale.ROOT));
  }

  /**
   * Serializes a resource in the operators' form.
   *
   * @param resource the resource
   * @return the JSON object
   */
  public static ObjectNode write(Resource resource) {
    ObjectNode node = Json.object();
    node.put("apiVersion", API_VERSION);
    node.put("kind", resource.kind().title());
    ObjectNode metadata = node.putObject("metadata");
    metadata.put("name", resource.name());
    metadata.put("resourceVersion", resource.revision());
    node.set("spec", writeSpec(resource.spec()));
    return node;
  }

  private static ObjectNode writeSpec(Spec spec) {
    if (spec instanceof TeamSpec team) {
      return writeTeam(team);
    } else if (spec instanceof BudgetSpec budget) {
      return writeBudget(budget);
    } else if (spec instanceof ServiceSpec service) {
      return writeService(service);
    } else if (spec instanceof EvacuationSpec) {
      return Json.object();
    }
    return writeUpstream((UpstreamSpec) spec);
  }

  private static ObjectNode writeTeam(TeamSpec team) {
    ObjectNode node = Json.object();
    ArrayNode keys = node.putArray("keys");
    team.keys()
        .forEach(key -> keys.addObject().put("salt", key.salt()).put("sha256", key.sha256()));
    return node.put("weight", team.weight());
  }

  private static ObjectNode writeBudget(BudgetSpec budget) {
    ObjectNode node = Json.object();
    node.put("team", budget.team());
    ArrayNode services = node.putArray("services");
    budget.services().forEach(services::add);
    ArrayNode topUps = node.putArray("topUps");
    budget
        .topUps()
        .forEach(topUp -> topUps.addObject().put("id", topUp.id()).put("tokens", topUp.tokens()));
    return node;
  }

  private static ObjectNode writeService(ServiceSpec service) {
    return Json.object()
        .put("type", lower(service.type()))
        .put("priority", lower(service.priority()))
        .put("repeatable", service.repeatable())
        .put("maxOutputTokens", service.maxOutputTokens())
        .put("tokensPerCall", service.tokensPerCall())
        .put("timeoutMs", service.timeoutMs());
  }

  private static ObjectNode writeUpstream(UpstreamSpec upstream) {
    return Json.object()
        .put("service", upstream.service())
        .put("host", upstream.host())
        .put("port", upstream.port())
        .put("domain", upstream.domain())
        .put("slots", upstream.slots())
        .put("leaving", upstream.leaving());
  }

  private static String lower(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  @Override
  public String encode(Resource resource) {
    return write(resource).toString();
  }

  @Override
  public Resource decode(String text) {
    Manifest manifest = readManifest(Json.read(text));
    return new Resource(manifest.name(), manifest.version().orElse(0), manifest.spec());
  }
}
