/** What every layer's errors are made of. */
package io.mothrill.core.error;
