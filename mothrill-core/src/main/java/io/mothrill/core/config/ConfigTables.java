package io.mothrill.core.config;

import io.mothrill.core.platform.RowKey;
import io.mothrill.core.resource.ResourceKind;
import java.util.Locale;

/** The tables, keys and cells that hold configuration on the platform. */
final class ConfigTables {

  static final String CHANGES = "config-changes";
  static final String RESOURCES = "config-resources";
  static final String REVISION = "revision";
  static final String JSON = "json";
  static final String KIND = "kind";
  static final String NAME = "name";
  static final String WHO = "who";
  static final String CHANGE_ID = "changeId";
  static final String WALL_MS = "wallMs";

  private ConfigTables() {}

  static RowKey head() {
    return new RowKey("config-head", "head");
  }

  static RowKey resource(ResourceKind kind, String name) {
    return new RowKey(RESOURCES, kind.plural() + "/" + name);
  }

  static RowKey change(long revision) {
    return new RowKey(CHANGES, changeKey(revision));
  }

  static String changeKey(long revision) {
    return String.format(Locale.ROOT, "%019d", revision);
  }

  static RowKey changeId(String id) {
    return new RowKey("config-change-ids", id);
  }
}
