/** The scenario language: what happens to a fleet, and what must hold then. */
package io.mothrill.lab.scenario;
