package io.mothrill.core.resource;

/**
 * A declared resource as it was accepted.
 *
 * @param name unique among resources of its kind
 * @param revision the configuration revision of its last change, which is its resource version
 * @param spec what was declared
 */
public record Resource(String name, long revision, Spec spec) {

  /**
   * Says of which kind this is.
   *
   * @return the kind
   */
  public ResourceKind kind() {
    return spec.kind();
  }
}
