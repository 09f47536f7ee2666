/** The embedded default: everything in one process, with stand-ins. */
package io.mothrill.lab.demo;
