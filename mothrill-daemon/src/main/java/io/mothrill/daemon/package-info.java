/** x. */
package io.mothrill.daemon;
