package io.mothrill.core.platform;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's object store; an object is replaced atomically. */
public interface ObjectStore {

  /**
   * Stores an object, replacing an earlier one.
   *
   * @param name the object's name
   * @param content its bytes
   * @return completes when the object is stored
   */
  CompletableFuture<Void> put(String name, byte[] content);

  /**
   * Returns an object.
   *
   * @param name the object's name
   * @return its bytes, or empty when there is none
   */
  CompletableFuture<Optional<byte[]>> get(String name);
}
