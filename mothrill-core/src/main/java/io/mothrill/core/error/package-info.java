/** Building blocks of the errors of all layers. */
package io.mothrill.core.error;
