/** Errors of the platform ports. */
package io.mothrill.core.platform.error;
