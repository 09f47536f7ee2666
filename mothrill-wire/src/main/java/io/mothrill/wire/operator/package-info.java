/** The HTTP services for operators and the platform's probes. */
package io.mothrill.wire.operator;
