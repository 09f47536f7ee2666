package io.mothrill.core.forward.view;

import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.view.table.StoredRow;
import java.util.Collection;

/** Decodes the rows of the platform's tables. */
public interface StateDecoder {

  /**
   * Decodes the declared configuration.
   *
   * @param rows the rows of its table
   * @return the configuration; without a plan if there is none or it is malformed
   */
  DeclaredConfig decodeConfig(Collection<StoredRow> rows);

  /**
   * Decodes the registered upstreams.
   *
   * @param rows the rows of their table
   * @return the upstreams, without malformed entries
   */
  UpstreamList decodeUpstreams(Collection<StoredRow> rows);
}
