/** Requests that are forwarded as they are, and what is decided about them. */
package io.mothrill.core.forward.request;
