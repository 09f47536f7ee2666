package io.mothrill.daemon.forward;

import io.mothrill.core.work.TimerLateness;
import io.mothrill.core.work.WorkKind;
import io.mothrill.core.work.WorkStats;
import io.mothrill.daemon.log.LogFields;
import java.util.Locale;
import org.tinylog.Logger;

/** Logs the work of the event loops since the start. */
final class WorkLog {

  private static final long NANOS_PER_MS = 1_000_000;

  private WorkLog() {}

  static void write(WorkStats work, TimerLateness lateness) {
    LogFields line = LogFields.event("work");
    work.all().forEach((kind, entry) -> add(line, kind, entry));
    line.with("timersLateMaxMs", lateness.takeMaxMs());
    Logger.info(line.toString());
  }

  private static void add(LogFields line, WorkKind kind, WorkStats.Totals entry) {
    String name = kind.name().toLowerCase(Locale.ROOT);
    line.with(name + "Turns", entry.turnCount())
        .with(name + "BusyMs", entry.busyNanos() / NANOS_PER_MS);
    if (kind != WorkKind.TIMER) {
      line.with(name + "Opened", entry.openedCount())
          .with(name + "ReceivedBytes", entry.receivedBytes())
          .with(name + "SentBytes", entry.sentBytes());
    }
  }
}
