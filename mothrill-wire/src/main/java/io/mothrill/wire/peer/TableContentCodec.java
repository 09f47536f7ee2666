package io.mothrill.wire.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.mothrill.core.forward.view.table.RowValue;
import io.mothrill.core.forward.view.table.StoredRow;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.wire.peer.generated.TableContent;
import io.mothrill.wire.peer.generated.TableRow;
import java.util.HashSet;
import java.util.Map;

/** Converts differences of tables from and to protobuf; long values are compressed. */
final class TableContentCodec {

  /** Compression saves nothing worth its time on shorter values. */
  private static final int MIN_DEFLATED_BYTES = 1_024;

  /** Several times the plan with the most routes. */
  private static final int MAX_VALUE_BYTES = 16 << 20;

  private TableContentCodec() {}

  static TableContent write(TableRead read) {
    TableContent.Builder content =
        TableContent.newBuilder()
            .setVersion(read.version())
            .setChangeVersion(read.changeVersion())
            .addAllKeys(read.keys());
    if (read.confirmedStoreMs() != TableRead.UNCONFIRMED) {
      content.setConfirmedStoreMs(read.confirmedStoreMs());
    }
    read.rows().stream().map(TableContentCodec::writeRow).forEach(content::addRows);
    return content.build();
  }

  private static TableRow writeRow(StoredRow row) {
    boolean deflated = row.value().bytes().length >= MIN_DEFLATED_BYTES;
    return TableRow.newBuilder()
        .setKey(row.key())
        .setVersion(row.version())
        .setValue(bytes(deflated ? row.value().deflated() : row.value().bytes()))
        .setDeflated(deflated)
        .build();
  }

  private static ByteString bytes(byte[] immutable) {
    return UnsafeByteOperations.unsafeWrap(immutable);
  }

  /**
   * Parses rows.
   *
   * @throws io.mothrill.core.error.InvalidInputException if a value cannot be decompressed
   */
  static TableRead read(TableContent content) {
    return new TableRead(
        TableRead.Kind.DIFFERENCE,
        content.getVersion(),
        content.getChangeVersion(),
        content.hasConfirmedStoreMs() ? content.getConfirmedStoreMs() : TableRead.UNCONFIRMED,
        content.getRowsList().stream().map(TableContentCodec::readRow).toList(),
        Map.of(),
        new HashSet<>(content.getKeysList()));
  }

  private static StoredRow readRow(TableRow row) {
    byte[] value = row.getValue().toByteArray();
    return new StoredRow(
        row.getKey(),
        row.getVersion(),
        row.getDeflated() ? RowValue.ofDeflated(value, MAX_VALUE_BYTES) : RowValue.of(value));
  }
}
