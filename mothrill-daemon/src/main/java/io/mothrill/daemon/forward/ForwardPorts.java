package io.mothrill.daemon.forward;

import io.mothrill.core.forward.view.StateDecoder;
import io.mothrill.core.forward.view.StateSource;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.work.WorkStats;
import io.mothrill.wire.forward.CallerListener;
import io.mothrill.wire.forward.Dialect;

/**
 * The connections of a forwarding instance to its platform.
 *
 * @param table the platform's table
 * @param storeClock the clock of the platform's store
 * @param state the source of declared configuration and registered upstreams
 * @param decoder decodes what the source returns
 * @param dialect the wire names of headers and paths
 * @param callers the listening socket for callers
 * @param work records the work of the event loops
 * @param startedMs when the process started, on the clock of the timer service
 */
public record ForwardPorts(
    TableService table,
    StoreClock storeClock,
    StateSource state,
    StateDecoder decoder,
    Dialect dialect,
    CallerListener callers,
    WorkStats work,
    long startedMs) {}
