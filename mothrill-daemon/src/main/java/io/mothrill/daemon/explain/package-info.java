/** Tells from the logs alone what became of a request and why. */
package io.mothrill.daemon.explain;
