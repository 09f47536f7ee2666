/** Experiments that measure cost, latency and spending, partly in comparison with baselines. */
package io.mothrill.lab.experiment;
