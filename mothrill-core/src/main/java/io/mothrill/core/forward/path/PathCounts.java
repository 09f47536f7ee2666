package io.mothrill.core.forward.path;

import java.util.Map;

/**
 * The paths on which this instance currently has no contact to upstreams.
 *
 * @param broken the number of upstreams that other instances reach instead
 * @param failing the number of upstreams without contact since the last failure
 * @param registered the number of registered upstreams
 * @param byFailure the number of failing paths by their last failure; without those that are zero
 */
public record PathCounts(
    int broken, int failing, int registered, Map<PathFailure, Long> byFailure) {}
