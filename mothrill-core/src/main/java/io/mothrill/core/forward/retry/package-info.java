/** How often requests may be sent again, over all instances together. */
package io.mothrill.core.forward.retry;
