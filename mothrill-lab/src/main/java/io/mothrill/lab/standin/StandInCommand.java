package io.mothrill.lab.standin;

import io.mothrill.daemon.cli.Command;
import io.mothrill.wire.time.NettyTimers;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;

/** Base class of the commands that run a stand-in until the process is terminated. */
abstract class StandInCommand implements Command {

  @Option(name = "--host", metaVar = "IP", usage = "where to listen (default 127.0.0.1)")
  private String host = "127.0.0.1";

  @Option(name = "--port", required = true, metaVar = "PORT", usage = "a TCP port; 0 for any")
  private int port;

  @Override
  public final int run() throws InterruptedException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(NioIoHandler.newFactory());
    int listening = start(group, new NettyTimers(group), host, port);
    System.out.println("listening on " + host + ":" + listening);
    new CountDownLatch(1).await();
    return OK;
  }

  /** Starts the stand-in and returns its port. */
  abstract int start(EventLoopGroup group, NettyTimers timers, String listenHost, int listenPort);
}
