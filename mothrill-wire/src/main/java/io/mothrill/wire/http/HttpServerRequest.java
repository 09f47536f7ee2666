package io.mothrill.wire.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;

/**
 * A whole request as the small server received it.
 *
 * @param method the method's name
 * @param uri the path with its query
 * @param headers the headers
 * @param body the body; not to be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpServerRequest(String method, String uri, HttpHeaders headers, byte[] body) {

  /**
   * Gives the path without its query.
   *
   * @return the path
   */
  public String path() {
    return new QueryStringDecoder(uri).path();
  }

  /**
   * Splits the path.
   *
   * @return its segments, without the empty one before the first slash
   */
  public List<String> segments() {
    return List.of(path().substring(1).split("/", -1));
  }

  /**
   * Reads a parameter of the query.
   *
   * @param name the parameter
   * @param fallback its value when it is not there
   * @return the first value
   */
  public String query(String name, String fallback) {
    List<String> values = new QueryStringDecoder(uri).parameters().get(name);
    return values == null ? fallback : values.get(0);
  }
}
