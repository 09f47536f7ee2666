/** Decides which requests are admitted to a full service, and when refused callers retry. */
package io.mothrill.core.forward.admission;
