package io.mothrill.daemon.cli;

import io.mothrill.daemon.settings.InstanceSettings;
import org.kohsuke.args4j.Argument;

/** {@code mothrill check-settings}: validates a settings file. */
public final class CheckSettingsCommand implements Command {

  @Argument(required = true, metaVar = "FILE", usage = "settings in JSON")
  private String settings;

  @Override
  public int run() {
    InstanceSettings read = SettingsFile.read(settings);
    System.out.println("settings of instance " + read.id() + " are valid");
    return OK;
  }
}
