package io.mothrill.core.resource;

/**
 * An accepted resource.
 *
 * @param name unique among resources of its kind
 * @param revision the configuration revision of its last change, which serves as its resource
 *     version
 * @param spec the declared spec
 */
public record Resource(String name, long revision, Spec spec) {

  /**
   * Returns the kind of the resource.
   *
   * @return the kind
   */
  public ResourceKind kind() {
    return spec.kind();
  }
}
