package io.mothrill.daemon.forward;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.crash.TerminationProbe;
import io.mothrill.core.forward.crash.UpstreamProbe;
import io.mothrill.core.forward.path.BrokenPaths;
import io.mothrill.core.forward.path.PathFailure;
import io.mothrill.core.forward.path.PathListener;
import io.mothrill.core.forward.path.PathProbe;
import io.mothrill.core.forward.path.PathService;
import io.mothrill.core.forward.path.PathWitnesses;
import io.mothrill.core.forward.path.UpstreamPaths;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.forward.upstream.UpstreamStatus;
import io.mothrill.core.forward.upstream.UpstreamStatusBroadcast;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import io.mothrill.core.work.WorkStats;
import io.mothrill.wire.forward.EndCheck;
import io.mothrill.wire.peer.PeerCodec;
import io.mothrill.wire.relay.RelayAcceptor;
import io.mothrill.wire.relay.RelayClient;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Assembles the components that find out about paths and relay connections. */
final class PathSetup {

  private final PublishedValue<UpstreamList> upstreams;
  private final BrokenPaths broken = new BrokenPaths();
  private final PathService service;
  private final RelayAcceptor acceptor;
  private final RelayClient relayClient;
  private final PathProbe direct;

  PathSetup(
      PublishedValue<UpstreamList> upstreams,
      BooleanSupplier isLeaving,
      PathProbe direct,
      PeerCodec codec,
      WorkStats work) {
    this.upstreams = upstreams;
    this.direct = direct;
    this.service = new PathService(upstreams, broken, isLeaving);
    this.acceptor = new RelayAcceptor(service, work);
    this.relayClient = new RelayClient(codec, work);
  }

  /** Starts to watch the paths of this instance and to answer checks of others. */
  UpstreamPaths watchPaths(
      InstanceRecord self,
      Supplier<List<InstanceRecord>> others,
      PeerLinks links,
      PeerDispatcher dispatcher,
      UpstreamLoads loads,
      UpstreamStatusBroadcast statusBroadcast,
      Timers timers) {
    dispatcher.on(
        PeerMessage.CheckPath.class,
        check -> service.check(check.incarnation(), direct).thenApply(PeerMessage.PathReply::new));
    return new UpstreamPaths(
        upstreams,
        loads,
        broken,
        direct,
        new PathWitnesses(self, others, links, timers),
        broadcasting(statusBroadcast),
        timers);
  }

  private static PathListener broadcasting(UpstreamStatusBroadcast statusBroadcast) {
    return new PathListener() {
      @Override
      public void onEnded(RegisteredUpstream upstream) {
        statusBroadcast.onDetected(upstream, UpstreamStatus.ENDED);
      }

      @Override
      public void onUnreachable(RegisteredUpstream upstream) {
        statusBroadcast.onDetected(upstream, UpstreamStatus.UNREACHABLE);
      }
    };
  }

  /** Creates a probe that takes upstreams behind broken paths for running. */
  static TerminationProbe terminationProbe(UpstreamPaths paths, Timers timers) {
    UpstreamProbe probe = new UpstreamProbe(paths::diagnose, timers);
    return new TerminationProbe() {
      @Override
      public CompletableFuture<Boolean> hasTerminated(RegisteredUpstream upstream) {
        paths.onFailure(upstream, PathFailure.LOST);
        return probe.hasTerminated(upstream);
      }

      @Override
      public boolean refusesConnections(RegisteredUpstream upstream) {
        return paths.isRefused(upstream);
      }
    };
  }

  /**
   * Creates the check of responses that end with their connection. A probe that was begun for an
   * earlier response may have reached an upstream that has terminated since, so none is shared.
   */
  EndCheck endCheck(UpstreamPaths paths, Timers timers) {
    return new EndCheck(
        upstream -> new UpstreamProbe(paths::diagnose, timers).hasTerminated(upstream),
        upstream -> upstreams.read().isAccepting(upstream),
        timers);
  }

  BrokenPaths broken() {
    return broken;
  }

  RelayAcceptor acceptor() {
    return acceptor;
  }

  RelayClient relayClient() {
    return relayClient;
  }
}
