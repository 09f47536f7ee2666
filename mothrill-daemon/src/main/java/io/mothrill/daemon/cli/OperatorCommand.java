package io.mothrill.daemon.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.http.HttpClient;
import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.json.Json;
import io.mothrill.wire.operator.OperatorClient;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;

/** The base class of commands that call the operator port of an instance. */
abstract class OperatorCommand implements Command {

  private static final long TIMEOUT_MS = 40_000;

  @Option(
      name = "--server",
      metaVar = "HOST:PORT",
      usage = "an instance's operator port (default $MOTHRILL_SERVER or 127.0.0.1:8081)")
  private String server = System.getenv().getOrDefault("MOTHRILL_SERVER", "127.0.0.1:8081");

  @Option(
      name = "-o",
      aliases = "--output",
      metaVar = "FORMAT",
      usage = "json or table (default table)")
  private String output = "table";

  @Override
  public final int run() throws Exception {
    if (!output.equals("json") && !output.equals("table")) {
      throw InvalidInputException.of(FieldError.refused("-o", "must be json or table"));
    }
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      String who = System.getProperty("user.name", "unknown");
      return run(
          new OperatorClient(
              new HttpClient(group), Address.parse(server, "--server"), who, TIMEOUT_MS));
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
  }

  abstract int run(OperatorClient client) throws Exception;

  boolean wantsJson() {
    return output.equals("json");
  }

  /** Returns the body of a response, or throws an exception with the error in it. */
  JsonNode checked(HttpReply reply) {
    JsonNode node = Json.read(reply.body());
    if (!reply.isSuccess()) {
      JsonNode error = node.path("error");
      throw new IllegalStateException(
          error.path("code").asText() + ": " + error.path("message").asText());
    }
    return node;
  }
}
