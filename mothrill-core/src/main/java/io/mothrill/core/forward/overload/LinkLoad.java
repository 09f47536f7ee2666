package io.mothrill.core.forward.overload;

import io.mothrill.core.time.Timers;
import io.mothrill.core.work.WorkAccount;
import java.util.function.LongSupplier;

/**
 * How much of its link an instance uses, by the bytes that it counts itself.
 *
 * <p>Bytes that wait at the link are not seen by the instance: its requests arrive late, and so do
 * the answers of upstreams. A link that is used for most of the time has a queue, the longer the
 * more its requests differ in length.
 */
public final class LinkLoad {

  private static final long SAMPLE_MS = 100;

  /** Weight of the newest sample: the last half second counts, one long prompt alone does not. */
  private static final double NEWEST = 0.25;

  private final double sampleBytes;
  private final Way in;
  private final Way out;

  /**
   * Begins to measure.
   *
   * @param bytesPerS what the link carries each way; 0 when that is not known
   * @param work counts the bytes
   * @param timers the time
   */
  public LinkLoad(double bytesPerS, WorkAccount work, Timers timers) {
    this.sampleBytes = bytesPerS * SAMPLE_MS / 1_000;
    this.in = new Way(work::receivedBytes);
    this.out = new Way(work::sentBytes);
    if (sampleBytes > 0) {
      timers.every(SAMPLE_MS, this::sample);
    }
  }

  private void sample() {
    in.sample();
    out.sample();
  }

  /**
   * Gives the part of the link that is used, in the direction that is used more.
   *
   * @return from 0; 1 and more when all of it is used
   */
  public double used() {
    return sampleBytes == 0 ? 0 : Math.max(in.bytes, out.bytes) / sampleBytes;
  }

  /** One direction. */
  private static final class Way {
    private final LongSupplier total;
    private long before;
    private volatile double bytes;

    Way(LongSupplier total) {
      this.total = total;
    }

    void sample() {
      long now = total.getAsLong();
      bytes += NEWEST * (now - before - bytes);
      before = now;
    }
  }
}
