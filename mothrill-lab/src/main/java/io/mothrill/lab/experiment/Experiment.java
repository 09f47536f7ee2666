package io.mothrill.lab.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** An experiment that prints its measurements and returns them as JSON. */
interface Experiment {

  /**
   * Runs the experiment.
   *
   * @return the figures
   */
  ObjectNode run();
}
