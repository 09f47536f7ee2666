/** A demo that runs the whole system in one process, with stand-ins for external systems. */
package io.mothrill.lab.demo;
