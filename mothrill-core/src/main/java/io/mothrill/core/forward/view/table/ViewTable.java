package io.mothrill.core.forward.view.table;

/** A table of the platform's store of which every instance keeps a copy. */
public enum ViewTable {
  /** The declared configuration: the plan and the failure domains that are being evacuated. */
  CONFIG,
  /** The registered upstreams. */
  UPSTREAMS
}
