/** Declared resources: Team, Budget, Service and Upstream. */
package io.mothrill.core.resource;
