package io.mothrill.wire.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.wire.json.Json;

/** Converts instance records from and to JSON. */
public final class InstanceJson {

  private InstanceJson() {}

  /**
   * Serializes a record.
   *
   * @param instance the record
   * @return the JSON object
   */
  public static JsonNode write(InstanceRecord instance) {
    return Json.object()
        .put("id", instance.id())
        .put("incarnation", instance.incarnation())
        .put("domain", instance.domain())
        .put("host", instance.host())
        .put("peerPort", instance.peerPort())
        .put("leaving", instance.leaving());
  }

  /**
   * Parses a record.
   *
   * @param node the JSON object
   * @return the record
   */
  public static InstanceRecord read(JsonNode node) {
    return new InstanceRecord(
        node.path("id").asText(),
        node.path("incarnation").asText(),
        node.path("domain").asText(),
        node.path("host").asText(),
        node.path("peerPort").asInt(),
        node.path("leaving").asBoolean());
  }
}
