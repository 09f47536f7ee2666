package io.mothrill.core.resource;

/** Serializes resources to text for the platform's table, and parses them. */
public interface ResourceCodec {

  /**
   * Serializes a resource.
   *
   * @param resource the resource
   * @return the serialized form
   */
  String encode(Resource resource);

  /**
   * Parses a resource.
   *
   * @param text the output of {@link #encode}
   * @return the resource
   * @throws io.mothrill.core.error.InvalidInputException when the text is not a valid resource
   */
  Resource decode(String text);
}
