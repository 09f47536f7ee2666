package io.mothrill.core.node;

import io.mothrill.core.forward.crash.CrashMessageSender;
import io.mothrill.core.forward.path.PathProbe;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.platform.InstanceList;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.resource.ResourceCodec;
import io.mothrill.core.time.Timers;
import io.mothrill.core.upstream.UpstreamClient;
import java.util.Random;

/**
 * The external services that a node uses.
 *
 * @param table the platform's table
 * @param instances the platform's instance list
 * @param links sends requests to peers
 * @param dispatcher dispatches requests from peers
 * @param upstreams sends calls to upstreams
 * @param upstreamPaths probes whether this node reaches an upstream
 * @param crashReports reports requests that crashed upstreams to other instances
 * @param codec encodes and decodes resources
 * @param timers the clock and timer service
 * @param random the source of randomness for selections and ids
 */
public record NodePorts(
    TableService table,
    InstanceList instances,
    PeerLinks links,
    PeerDispatcher dispatcher,
    UpstreamClient upstreams,
    PathProbe upstreamPaths,
    CrashMessageSender crashReports,
    ResourceCodec codec,
    Timers timers,
    Random random) {}
