/** Stand-ins for the systems around mothrill, with tools for load, scenarios and experiments. */
package io.mothrill.lab;
