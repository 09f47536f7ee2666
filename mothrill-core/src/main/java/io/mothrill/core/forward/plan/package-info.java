/** What the operator has declared for forwarding: routes, services, teams and callers' limits. */
package io.mothrill.core.forward.plan;
