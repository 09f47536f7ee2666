/** Shares out between instances what an upstream takes from all of them together. */
package io.mothrill.core.forward.permit;
