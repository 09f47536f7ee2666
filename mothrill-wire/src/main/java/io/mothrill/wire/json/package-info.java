/** JSON on Jackson: a validating reader that reports field paths, and the codec for resources. */
package io.mothrill.wire.json;
