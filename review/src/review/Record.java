package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: one line for each thing that was sent, answered, run or changed. */
final class Record implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) {
    try {
      this.out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException ex) {
      throw new UncheckedIOException(ex);
    }
  }

  long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String format, Object... arguments) {
    String text = String.format("%7d ms  ", nowMs()) + String.format(format, arguments);
    out.println(text);
    out.flush();
    if (Boolean.getBoolean("review.verbose")) {
      System.out.println(text);
    }
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
