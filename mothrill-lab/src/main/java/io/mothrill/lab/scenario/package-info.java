/** The scenario language, which describes events in a fleet and the expected results. */
package io.mothrill.lab.scenario;
