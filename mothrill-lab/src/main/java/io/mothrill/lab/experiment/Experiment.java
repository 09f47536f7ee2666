package io.mothrill.lab.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** One experiment: runs, prints what it measured, and gives it as JSON. */
interface Experiment {

  /**
   * Runs the experiment.
   *
   * @return the figures
   */
  ObjectNode run();
}
