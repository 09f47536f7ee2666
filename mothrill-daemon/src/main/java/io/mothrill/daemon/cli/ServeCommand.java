package io.mothrill.daemon.cli;

import io.mothrill.daemon.EntryInstance;
import io.mothrill.daemon.settings.InstanceSettings;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.kohsuke.args4j.Option;
import org.tinylog.Logger;
import sun.misc.Signal;

/** {@code mothrill serve}: runs an entry instance until it gets a termination signal. */
public final class ServeCommand implements Command {

  @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings in JSON")
  private String settings;

  @Override
  public int run() throws InterruptedException {
    InstanceSettings read = SettingsFile.read(settings);
    EntryInstance instance = EntryInstance.start(read);
    CountDownLatch done = new CountDownLatch(1);
    AtomicInteger signals = new AtomicInteger();
    Runnable drain =
        () -> {
          if (signals.incrementAndGet() > 1) {
            Logger.info("already draining; signal ignored");
          }
          instance.drain().thenRun(done::countDown);
        };
    Signal.handle(new Signal("TERM"), signal -> drain.run());
    Signal.handle(new Signal("INT"), signal -> drain.run());
    done.await();
    instance.close();
    return OK;
  }
}
