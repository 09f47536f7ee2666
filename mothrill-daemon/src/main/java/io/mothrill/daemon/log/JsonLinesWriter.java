package io.mothrill.daemon.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes each log entry to standard output as a JSON object on one line.
 *
 * <p>If the reader of standard output stops reading, writing blocks, and with it every thread that
 * logs and all requests. Entries therefore go through a bounded queue to a separate thread. Entries
 * that do not fit are dropped and counted, and the count is written when there is room again.
 *
 * <pre>{@code
 * writer = json lines
 * }</pre>
 */
public final class JsonLinesWriter implements Writer {

  /** About half a megabyte at the usual line length, or some seconds at the highest rate. */
  private static final int QUEUE_LENGTH = 2_048;

  private static final AtomicLong DROPPED = new AtomicLong();

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LENGTH);
  private final OutputStream out;
  private long reportedDropped;

  /**
   * Creates a writer on standard output.
   *
   * @param properties the writer's settings; none are used
   */
  public JsonLinesWriter(Map<String, String> properties) {
    this(new FileOutputStream(FileDescriptor.out));
    Thread thread = new Thread(this::writeLoop, "log");
    thread.setDaemon(true);
    thread.start();
  }

  JsonLinesWriter(OutputStream out) {
    this.out = out;
  }

  /**
   * Returns the number of lines that were dropped because the queue was full.
   *
   * @return the number of lines since the start
   */
  public static long droppedCount() {
    return DROPPED.get();
  }

  @Override
  public Collection<LogEntryValue> getRequiredLogEntryValues() {
    return EnumSet.of(
        LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION);
  }

  @Override
  public void write(LogEntry entry) {
    if (!queue.offer(lineOf(entry))) {
      DROPPED.incrementAndGet();
    }
  }

  private static String lineOf(LogEntry entry) {
    StringBuilder line = new StringBuilder(256);
    line.append("{\"time\":\"").append(entry.getTimestamp().toInstant());
    line.append("\",\"level\":\"").append(entry.getLevel()).append('"');
    String message = String.valueOf(entry.getMessage());
    if (LogFields.isFields(message)) {
      line.append(',').append(message, 1, message.length() - 1);
    } else {
      append(line, "message", message);
    }
    if (entry.getException() != null) {
      append(line, "exception", String.valueOf(entry.getException()));
    }
    return line.append("}\n").toString();
  }

  private static void append(StringBuilder line, String name, String value) {
    line.append(",\"").append(name).append("\":\"");
    JsonStringEncoder.getInstance().quoteAsString(value, line);
    line.append('"');
  }

  private void writeLoop() {
    List<String> lines = new ArrayList<>();
    while (true) {
      try {
        lines.add(queue.take());
        queue.drainTo(lines);
        writeOut(lines);
      } catch (IOException ex) {
        // Standard output is closed, so the error cannot be reported.
        DROPPED.addAndGet(lines.size());
      } catch (InterruptedException ex) {
        return;
      }
      lines.clear();
    }
  }

  private void writeOut(List<String> lines) throws IOException {
    long dropped = DROPPED.get();
    if (dropped > reportedDropped) {
      lines.add("{\"event\":\"log_lines_dropped\",\"sinceStart\":" + dropped + "}\n");
      reportedDropped = dropped;
    }
    out.write(String.join("", lines).getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  @Override
  public void flush() throws IOException {
    List<String> lines = new ArrayList<>();
    queue.drainTo(lines);
    writeOut(lines);
  }

  @Override
  public void close() throws IOException {
    flush();
  }
}
