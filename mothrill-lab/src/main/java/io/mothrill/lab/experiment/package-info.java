/** Experiments that compare a policy with baselines in one run. */
package io.mothrill.lab.experiment;
