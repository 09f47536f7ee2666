/** The path of a request: its key, its reservation, its run, its bill and its answer. */
package io.mothrill.core.request;
