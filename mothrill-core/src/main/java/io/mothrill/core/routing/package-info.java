/**
 * Selects the upstream and the time for each call: call classes, admission policies, queues and
 * scoring.
 */
package io.mothrill.core.routing;
