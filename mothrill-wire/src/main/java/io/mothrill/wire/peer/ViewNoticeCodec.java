package io.mothrill.wire.peer;

import io.mothrill.core.forward.view.exchange.ViewNotice;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.TableState;
import io.mothrill.core.forward.view.table.ViewTable;
import java.util.Arrays;
import java.util.Optional;

/** Converts notices about copies of tables from and to protobuf. */
final class ViewNoticeCodec {

  private ViewNoticeCodec() {}

  static io.mothrill.wire.peer.generated.ViewNotice write(ViewNotice notice) {
    var builder = io.mothrill.wire.peer.generated.ViewNotice.newBuilder();
    notice.states().stream().map(ViewNoticeCodec::writeState).forEach(builder::addStates);
    return builder.build();
  }

  private static io.mothrill.wire.peer.generated.TableState writeState(TableState state) {
    var builder =
        io.mothrill.wire.peer.generated.TableState.newBuilder()
            .setTable(state.table().name())
            .setChangeVersion(state.changeVersion())
            .setVersion(state.version());
    if (state.confirmedStoreMs() != TableRead.UNCONFIRMED) {
      builder.setConfirmedStoreMs(state.confirmedStoreMs());
    }
    return builder.build();
  }

  /** Parses a notice; tables that only a later release knows, and invalid states, are left out. */
  static ViewNotice read(io.mothrill.wire.peer.generated.ViewNotice notice) {
    return new ViewNotice(
        notice.getStatesList().stream()
            .filter(state -> state.getVersion() >= 0 && state.getChangeVersion() >= 0)
            .map(ViewNoticeCodec::readState)
            .flatMap(Optional::stream)
            .toList());
  }

  private static Optional<TableState> readState(io.mothrill.wire.peer.generated.TableState state) {
    return table(state.getTable())
        .map(
            table ->
                new TableState(
                    table,
                    state.getChangeVersion(),
                    state.getVersion(),
                    state.hasConfirmedStoreMs()
                        ? state.getConfirmedStoreMs()
                        : TableRead.UNCONFIRMED));
  }

  /** Finds a table by name. */
  static Optional<ViewTable> table(String name) {
    return Arrays.stream(ViewTable.values()).filter(table -> table.name().equals(name)).findFirst();
  }
}
