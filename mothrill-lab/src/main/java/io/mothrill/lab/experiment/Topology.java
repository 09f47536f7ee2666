package io.mothrill.lab.experiment;

import java.util.List;
import java.util.Map;

/** The topology of a deployment: the failure domain of each entry instance. */
record Topology(String name, Map<String, String> instances) {

  static final Topology ANADOLU =
      new Topology(
          "anadolu",
          Map.of(
              "ankara-a-1", "ankara-a",
              "ankara-a-2", "ankara-a",
              "ankara-b-1", "ankara-b",
              "ankara-b-2", "ankara-b",
              "konya-1", "konya",
              "kayseri-1", "kayseri"));

  static final Topology GA_CENTRAL =
      new Topology(
          "ga-central",
          Map.of(
              "macon-a-1", "macon-a",
              "macon-a-2", "macon-a",
              "macon-b-1", "macon-b",
              "macon-b-2", "macon-b",
              "warner-c-1", "warner-c",
              "warner-c-2", "warner-c"));

  List<String> instanceIds() {
    return instances.keySet().stream().sorted().toList();
  }

  /** Returns the domain that is isolated in partitions: that of the last instance. */
  String lastDomain() {
    return instances.get(instanceIds().get(instanceIds().size() - 1));
  }
}
