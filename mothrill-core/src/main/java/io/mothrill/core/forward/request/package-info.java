/** Forwarded requests and the decisions about them. */
package io.mothrill.core.forward.request;
