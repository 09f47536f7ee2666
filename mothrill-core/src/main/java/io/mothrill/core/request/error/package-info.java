/** Errors of the request layer. */
package io.mothrill.core.request.error;
