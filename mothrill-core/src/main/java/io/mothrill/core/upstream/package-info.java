/** Port to the back ends: model engines and plain services. */
package io.mothrill.core.upstream;
