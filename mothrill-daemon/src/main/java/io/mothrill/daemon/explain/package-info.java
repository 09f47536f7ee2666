/** Explains from the logs what happened to a request and why. */
package io.mothrill.daemon.explain;
