/** Configuration: accepts each change once and propagates revisions that never decrease. */
package io.mothrill.core.config;
