package io.mothrill.daemon.cli;

import io.mothrill.core.audit.AuditReport;
import io.mothrill.core.audit.Auditor;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.http.HttpClient;
import io.mothrill.wire.platform.HttpTableService;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;

/** {@code mothrill audit}: audits the platform's budget tables and prints every inconsistency. */
public final class AuditCommand implements Command {

  private static final long TIMEOUT_MS = 10_000;

  @Option(
      name = "--platform",
      required = true,
      metaVar = "HOST:PORT",
      usage = "where the platform listens")
  private String platform;

  @Override
  public int run() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      HttpTableService table =
          new HttpTableService(
              new HttpClient(group), Address.parse(platform, "--platform"), TIMEOUT_MS);
      AuditReport report = new Auditor(table).audit().get();
      print(report);
      return report.isClean() ? OK : FAILED;
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
  }

  private static void print(AuditReport report) {
    report
        .budgets()
        .forEach(
            (name, sums) ->
                System.out.println(
                    "budget "
                        + name
                        + " paid="
                        + sums.paidTokens()
                        + " allotted="
                        + sums.allottedTokens()
                        + " billed="
                        + sums.billedTokens()));
    System.out.println("requests billed: " + report.billedRequestCount());
    report.findings().forEach(finding -> System.out.println("FINDING " + finding));
    System.out.println(report.isClean() ? "the books are right" : "the books are wrong");
  }
}
