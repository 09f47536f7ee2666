/** Ports to the platform: table service, object store and instance list. */
package io.mothrill.core.platform;
