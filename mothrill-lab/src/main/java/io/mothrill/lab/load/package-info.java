/** A load generator that checks every answer. */
package io.mothrill.lab.load;
