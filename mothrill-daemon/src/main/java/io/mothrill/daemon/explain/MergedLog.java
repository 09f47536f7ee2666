package io.mothrill.daemon.explain;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * The lines of several logs, ordered by time.
 *
 * @param lines the parsed lines
 * @param unreadableCount the number of lines that could not be parsed
 */
record MergedLog(List<LogLine> lines, long unreadableCount) {

  /** Reads log files, one per instance. */
  static MergedLog read(List<Path> files) throws IOException {
    List<LogLine> lines = new ArrayList<>();
    long unreadable = 0;
    for (Path file : files) {
      for (String text : Files.readAllLines(file)) {
        var line = LogLine.parse(file.getFileName().toString(), text);
        line.ifPresent(lines::add);
        unreadable += line.isPresent() || text.isBlank() ? 0 : 1;
      }
    }
    lines.sort(Comparator.comparing(LogLine::at));
    return new MergedLog(List.copyOf(lines), unreadable);
  }

  /** Returns the lines that the same instance wrote up to a line, newest first. */
  Stream<LogLine> linesUpTo(LogLine line) {
    return lines.stream()
        .filter(other -> other.source().equals(line.source()))
        .filter(other -> !other.at().isAfter(line.at()))
        .sorted(Comparator.comparing(LogLine::at).reversed());
  }
}
