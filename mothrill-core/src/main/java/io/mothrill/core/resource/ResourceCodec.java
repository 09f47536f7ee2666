package io.mothrill.core.resource;

/** Writes resources as text for the platform's table and reads them back. */
public interface ResourceCodec {

  /**
   * Writes a resource.
   *
   * @param resource the resource
   * @return its text
   */
  String encode(Resource resource);

  /**
   * Reads a resource.
   *
   * @param text what {@link #encode} wrote
   * @return the resource
   * @throws io.mothrill.core.error.InvalidInputException when the text is not a valid resource
   */
  Resource decode(String text);
}
