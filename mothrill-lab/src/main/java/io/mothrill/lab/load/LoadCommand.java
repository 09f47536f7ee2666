package io.mothrill.lab.load;

import io.mothrill.daemon.cli.Command;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.http.HttpClient;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Option;

/**
 * {@code mothrill lab load}: sends calls on a fixed schedule, checks the answers and prints the
 * latencies.
 */
public final class LoadCommand implements Command {

  @Option(
      name = "--to",
      required = true,
      metaVar = "HOST:PORT,...",
      usage = "caller ports, used in turn")
  private String to;

  @Option(name = "--key", required = true, metaVar = "KEY", usage = "a team's key")
  private String key;

  @Option(name = "--model", required = true, metaVar = "NAME", usage = "the model")
  private String model;

  @Option(name = "--count", metaVar = "N", usage = "how many calls (default 100)")
  private int count = 100;

  @Option(name = "--rate", metaVar = "N", usage = "calls per second (default 50)")
  private double rate = 50;

  @Option(name = "--tokens", metaVar = "N", usage = "output cap of each call (default 32)")
  private int tokens = 32;

  @Option(name = "--priority", metaVar = "CLASS", usage = "urgent or batch (default urgent)")
  private String priority = "urgent";

  @Option(name = "--plain", usage = "plain answers instead of streams")
  private boolean plain;

  @Override
  public int run() {
    List<Address> targets =
        Arrays.stream(to.split(",", -1)).map(one -> Address.parse(one, "--to")).toList();
    AtomicInteger next = new AtomicInteger();
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(NioIoHandler.newFactory());
    try {
      OpenLoopSender sender = new OpenLoopSender(new CheckingCaller(new HttpClient(group)));
      List<CallResult> results =
          sender.run(
              this::call, count, rate, () -> targets.get(next.getAndIncrement() % targets.size()));
      return report(results);
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
  }

  private Call call(int number) {
    String team = key.substring(0, Math.max(0, key.indexOf('.')));
    return new Call(team, key, model, "load " + number, tokens, !plain, priority, "");
  }

  private static int report(List<CallResult> results) {
    Map<String, Long> states =
        results.stream()
            .collect(
                Collectors.groupingBy(
                    result -> result.isServed() ? "whole" : result.status() + " " + result.code(),
                    TreeMap::new,
                    Collectors.counting()));
    System.out.println("answers: " + states);
    System.out.println("first byte: " + Latencies.of(results, CallResult::firstByteMs));
    System.out.println("whole answer: " + Latencies.of(results, CallResult::lastByteMs));
    return results.stream().allMatch(CallResult::isServed) ? OK : FAILED;
  }
}
