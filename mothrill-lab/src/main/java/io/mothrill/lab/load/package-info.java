/** Callers that check every answer, and the load they make. */
package io.mothrill.lab.load;
