/** Declared configuration for forwarding: routes, services, teams and limits for callers. */
package io.mothrill.core.forward.plan;
