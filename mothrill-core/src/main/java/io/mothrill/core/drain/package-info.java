/** Leaving without cutting off a request. */
package io.mothrill.core.drain;
