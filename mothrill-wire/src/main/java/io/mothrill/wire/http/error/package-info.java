/** Errors of the HTTP layer. */
package io.mothrill.wire.http.error;
