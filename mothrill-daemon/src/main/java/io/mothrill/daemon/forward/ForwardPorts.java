package io.mothrill.daemon.forward;

import io.mothrill.core.forward.view.StateSource;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.work.WorkStats;
import io.mothrill.wire.forward.CallerListener;
import io.mothrill.wire.forward.Dialect;

/**
 * What an instance that forwards reaches its platform through.
 *
 * @param table the platform's table
 * @param storeClock the clock of its store
 * @param state what is declared and who is there
 * @param dialect the names on the wire
 * @param callers the socket that callers connect to
 * @param work counts what the event loops do
 * @param startedMs when the process had begun, by the clock of the timers
 */
public record ForwardPorts(
    TableService table,
    StoreClock storeClock,
    StateSource state,
    Dialect dialect,
    CallerListener callers,
    WorkStats work,
    long startedMs) {}
