/** The port to upstreams: model engines and plain services. */
package io.mothrill.core.upstream;
