package io.mothrill.core.forward.contention;

/**
 * Counts of slow upstreams and of the reports exchanged about them.
 *
 * @param waitingUpstreams upstreams at which requests currently have to wait
 * @param sent reports sent, each to all recipients
 * @param dropped reports that were not sent because of the maximum rate
 * @param received reports of other instances
 * @param ignored reports of other instances that were not used
 */
public record ContentionCounts(
    long waitingUpstreams, long sent, long dropped, long received, long ignored) {}
