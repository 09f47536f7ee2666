package io.mothrill.daemon.cli;

import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import io.mothrill.daemon.settings.InstanceSettings;
import io.mothrill.daemon.settings.SettingsReader;
import io.mothrill.wire.json.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads files named on the command line. */
final class SettingsFile {

  private SettingsFile() {}

  static InstanceSettings read(String file) {
    return SettingsReader.read(Json.read(bytes(file)));
  }

  static byte[] bytes(String file) {
    try {
      return Files.readAllBytes(Path.of(file));
    } catch (IOException ex) {
      throw InvalidInputException.of(FieldError.refused(file, "cannot be read"));
    }
  }
}
