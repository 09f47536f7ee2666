/** Errors of the configuration layer. */
package io.mothrill.core.config.error;
