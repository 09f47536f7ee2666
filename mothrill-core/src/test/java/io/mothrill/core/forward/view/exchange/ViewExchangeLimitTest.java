package io.mothrill.core.forward.view.exchange;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.view.ViewSettings;
import io.mothrill.core.forward.view.table.RowValue;
import io.mothrill.core.forward.view.table.StoredRow;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.TableState;
import io.mothrill.core.forward.view.table.ViewTable;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.platform.InstanceRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

// Guards against instances whose links are filled by plans that they pass on, and against requests
// to
// another instance that are repeated while one is pending.
class ViewExchangeLimitTest {

  private static final InstanceRecord SELF =
      new InstanceRecord("a", "a", "d", "10.0.0.1", 1, false);
  private static final InstanceRecord OTHER =
      new InstanceRecord("b", "b", "d", "10.0.0.2", 1, false);
  private static final TableState STATE = new TableState(ViewTable.CONFIG, 5, 5, 1_000);

  private final ManualTimers timers = new ManualTimers();
  private final PeerDispatcher dispatcher = new PeerDispatcher();
  private final List<PeerMessage> requested = new ArrayList<>();
  private final ViewExchange exchange =
      new ViewExchange(
          SELF,
          () -> List.of(OTHER),
          new LargeTable(),
          (notice, to) -> {},
          (peer, request, timeoutMs) -> {
            requested.add(request);
            return new CompletableFuture<>();
          },
          dispatcher,
          new ViewSettings(500, 500, 2_500, 1_000),
          timers,
          new Random(1));

  /** A copy with one large row. */
  private static final class LargeTable implements TableMerger {

    @Override
    public TableState state(ViewTable table) {
      return STATE;
    }

    @Override
    public boolean isReadable(ViewTable table) {
      return true;
    }

    @Override
    public Optional<TableRead> differenceAfter(ViewTable table, long afterVersion) {
      StoredRow row = new StoredRow("config", 5, RowValue.of(new byte[100_000]));
      return Optional.of(TableRead.difference(STATE, List.of(row), Set.of("config")));
    }

    @Override
    public boolean merge(ViewTable table, TableRead read, long requestedMs) {
      return true;
    }

    @Override
    public void confirm(TableState other) {}
  }

  private long servedOf(int requests) {
    return IntStream.range(0, requests)
        .mapToObj(number -> dispatcher.dispatch(new PeerMessage.TableRequest(ViewTable.CONFIG, -1)))
        .filter(reply -> reply.join() instanceof PeerMessage.TableReply)
        .count();
  }

  @Test
  void largeTablesArePassedOnFewTimesPerSecond() {
    assertThat(servedOf(30)).isEqualTo(10);
    assertThat(exchange.counts().declined()).isEqualTo(20);

    timers.advanceMs(1_000);
    assertThat(servedOf(30)).isEqualTo(10);
  }

  @Test
  void missingChangeIsRequestedOnceMoreWhenReplyIsLate() {
    ViewNotice newer = new ViewNotice(List.of(new TableState(ViewTable.CONFIG, 9, 9, 2_000)));
    IntStream.range(0, 5).forEach(number -> exchange.onNotice(newer, OTHER));
    assertThat(requested).hasSize(1);

    timers.advanceMs(300);
    IntStream.range(0, 5).forEach(number -> exchange.onNotice(newer, OTHER));

    assertThat(requested).hasSize(2);
    assertThat(exchange.behindMs(ViewTable.CONFIG)).isEqualTo(300);
  }
}
