/** What instances say to each other, and which of them are there. */
package io.mothrill.core.peer;
