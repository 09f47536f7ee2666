package io.mothrill.wire.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;

/**
 * A complete HTTP request received by a server.
 *
 * @param method the name of the method
 * @param uri the path with its query
 * @param headers the headers
 * @param body the body; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpServerRequest(String method, String uri, HttpHeaders headers, byte[] body) {

  /**
   * Returns the path without its query.
   *
   * @return the path
   */
  public String path() {
    return new QueryStringDecoder(uri).path();
  }

  /**
   * Returns the segments of the path.
   *
   * @return the segments, without the empty one before the first slash
   */
  public List<String> segments() {
    return List.of(path().substring(1).split("/", -1));
  }

  /**
   * Returns a query parameter.
   *
   * @param name the name of the parameter
   * @param fallback the value when the parameter is absent
   * @return the first value of the parameter
   */
  public String query(String name, String fallback) {
    List<String> values = new QueryStringDecoder(uri).parameters().get(name);
    return values == null ? fallback : values.get(0);
  }
}
