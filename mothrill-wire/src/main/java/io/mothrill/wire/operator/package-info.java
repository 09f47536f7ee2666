/** The edge towards operators and the platform's probes. */
package io.mothrill.wire.operator;
