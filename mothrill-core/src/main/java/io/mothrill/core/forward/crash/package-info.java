/**
 * Requests under which upstreams crash: how crashes are recorded, when requests are quarantined,
 * and how the records reach all instances.
 */
package io.mothrill.core.forward.crash;
