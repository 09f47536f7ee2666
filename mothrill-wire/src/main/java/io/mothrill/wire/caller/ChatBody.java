package io.mothrill.wire.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.upstream.CallBody;
import io.mothrill.wire.json.Json;

/** The body of a chat completion request, with the output cap set and usage reports requested. */
final class ChatBody implements CallBody {

  private final ObjectNode body;

  ChatBody(JsonNode body) {
    this.body = body.deepCopy();
  }

  @Override
  public byte[] forUpstream(long maxOutputTokens) {
    ObjectNode copy = body.deepCopy();
    copy.remove("max_completion_tokens");
    copy.put("max_tokens", maxOutputTokens);
    if (copy.path("stream").asBoolean()) {
      copy.putObject("stream_options")
          .put("include_usage", true)
          .put("continuous_usage_stats", true);
    }
    return Json.bytes(copy);
  }
}
