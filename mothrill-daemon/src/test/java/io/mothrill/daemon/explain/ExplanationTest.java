package io.mothrill.daemon.explain;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplanationTest {

  private static final String LOST =
      "{\"time\":\"2026-05-01T10:00:00Z\",\"level\":\"WARN\",\"message\":\"store lost: timeout\"}";
  private static final String REGAINED =
      "{\"time\":\"2026-05-01T10:00:09Z\",\"level\":\"INFO\",\"message\":\"store regained\"}";
  private static final String REFUSED =
      "{\"time\":\"2026-05-01T10:00:05Z\",\"level\":\"INFO\",\"event\":\"request\",\"id\":\"a1\","
          + "\"outcome\":\"tokens_elsewhere\",\"status\":503,\"reason\":\"spent 5 of 6\","
          + "\"route\":\"r1\",\"team\":\"branch\",\"paidMs\":250,\"tookMs\":260,\"plan\":7}";
  private static final String LATE =
      "{\"time\":\"2026-05-01T10:00:20Z\",\"level\":\"INFO\",\"event\":\"request\",\"id\":\"a2\","
          + "\"outcome\":\"served_late\",\"status\":200,\"route\":\"r1\",\"team\":\"branch\","
          + "\"offers\":\"i-1 at 0 ms, under way 9 of 12, unread 30000: served\","
          + "\"firstMs\":900,\"aimMs\":400,\"tookMs\":1400,\"plan\":7}";

  @TempDir private Path folder;

  private List<String> explain(String id, String... lines) throws IOException {
    Path log = folder.resolve("edge-1.log");
    Files.write(log, List.of(lines));
    return new Explanation(MergedLog.read(List.of(log))).explain(id);
  }

  // A caller got 503 for lack of tokens. The store had been unreachable for the instance for five
  // seconds, so no tokens could be transferred to it.
  @Test
  void reportsThatTheStoreWasUnreachable() throws IOException {
    String explanation = String.join("\n", explain("a1", REGAINED, REFUSED, LOST));

    assertThat(explanation).contains("a1 at edge-1.log: tokens_elsewhere, status 503 after 260 ms");
    assertThat(explanation).contains("reason given: spent 5 of 6");
    assertThat(explanation).contains("out of reach of the store (5000 ms before its end)");
  }

  @Test
  void reportsLoadOfTheUpstreamOfLateRequest() throws IOException {
    String explanation = String.join("\n", explain("a2", LOST, REGAINED, LATE));

    assertThat(explanation)
        .contains("offered to i-1 at 0 ms, under way 9 of 12, unread 30000: served");
    assertThat(explanation).contains("first byte after 900 ms");
    assertThat(explanation).doesNotContain("out of reach");
  }

  // A caller got 503 immediately, because identical requests had crashed upstreams through other
  // instances. The explanation lists the crashes with their age and the instance that reported
  // them.
  @Test
  void reportsUpstreamsThatEndedUnderTheSameRequest() throws IOException {
    String ended =
        "{\"time\":\"2026-05-01T10:00:01Z\",\"level\":\"INFO\",\"message\":\"upstream ended under"
            + " request fingerprint=ab12 upstream=i-1@0 count=3 agoMs=2\"}";
    String refused =
        "{\"time\":\"2026-05-01T10:00:05Z\",\"level\":\"INFO\",\"event\":\"request\",\"id\":\"a4\","
            + "\"outcome\":\"crashes_upstreams\",\"status\":503,\"fingerprint\":\"ab12\","
            + "\"reason\":\"i-1@0 ended 4002 ms ago, seen by edge-2\"}";
    String other = ended.replace("ab12", "cd34");

    String explanation = String.join("\n", explain("a4", ended, other, refused));

    assertThat(explanation).contains("upstreams ended under requests with the same team");
    assertThat(explanation).contains("reason given: i-1@0 ended 4002 ms ago, seen by edge-2");
    assertThat(explanation).contains("fingerprint=ab12 upstream=i-1@0 count=3");
    assertThat(explanation).doesNotContain("cd34");
  }

  @Test
  void explainsNothingWithoutLinesAboutTheRequest() throws IOException {
    assertThat(explain("a3", LOST, REFUSED)).isEmpty();
  }

  @Test
  void countsUnreadableLines() throws IOException {
    Path log = folder.resolve("mixed.log");
    Files.write(log, List.of("warning: something else", "", LOST));

    MergedLog mergedLog = MergedLog.read(List.of(log));

    assertThat(mergedLog.unreadableCount()).isEqualTo(1);
    assertThat(mergedLog.lines()).hasSize(1);
  }
}
