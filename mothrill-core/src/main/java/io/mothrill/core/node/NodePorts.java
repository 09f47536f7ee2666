package io.mothrill.core.node;

import io.mothrill.core.forward.crash.CrashMessageSender;
import io.mothrill.core.forward.crash.TerminationProbe;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.platform.InstanceList;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.resource.ResourceCodec;
import io.mothrill.core.time.Timers;
import io.mothrill.core.upstream.UpstreamClient;
import java.util.Random;

/**
 * What a node reaches the world through.
 *
 * @param table the platform's table
 * @param instances the platform's instance list
 * @param links the way to peers
 * @param dispatcher where requests from peers arrive
 * @param upstreams sends calls
 * @param upstreamEnds finds out whether an upstream has ended
 * @param crashReports tells other instances of requests under which upstreams ended
 * @param codec writes resources
 * @param timers the time
 * @param random choices and ids
 */
public record NodePorts(
    TableService table,
    InstanceList instances,
    PeerLinks links,
    PeerDispatcher dispatcher,
    UpstreamClient upstreams,
    TerminationProbe upstreamEnds,
    CrashMessageSender crashReports,
    ResourceCodec codec,
    Timers timers,
    Random random) {}
