package io.mothrill.daemon.explain;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * The lines of several logs in the order of their times.
 *
 * @param lines the lines that could be read
 * @param unreadableCount the lines that could not
 */
record MergedLog(List<LogLine> lines, long unreadableCount) {

  /** Reads whole files, each the log of one instance. */
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

  /** Gives what the instance that wrote a line had written up to then, newest first. */
  Stream<LogLine> before(LogLine line) {
    return lines.stream()
        .filter(other -> other.source().equals(line.source()))
        .filter(other -> !other.at().isAfter(line.at()))
        .sorted(Comparator.comparing(LogLine::at).reversed());
  }
}
