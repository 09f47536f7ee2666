/** The processing of a request: its key, reservation, run, bill and answer. */
package io.mothrill.core.request;
