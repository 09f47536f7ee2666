package io.mothrill.core.forward.view.exchange;

/**
 * The counts of what instances have passed on to each other since the start.
 *
 * @param noticesSent notices to one recipient each
 * @param noticesReceived notices received
 * @param requested tables requested from others
 * @param received changes received from others
 * @param failed requests without a usable reply
 * @param served replies to others
 * @param declined requests of others that were declined because of too many others
 */
public record ExchangeCounts(
    long noticesSent,
    long noticesReceived,
    long requested,
    long received,
    long failed,
    long served,
    long declined) {}
