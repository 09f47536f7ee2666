package io.mothrill.core.forward.upstream;

import java.util.concurrent.atomic.AtomicLong;

/** The prefill time of the prompts that wait at one upstream or are being read; thread-safe. */
public final class PrefillBacklog {

  private record Noticed(double pendingMs, long atMs) {

    double remainingMs(long nowMs) {
      return Math.max(0, pendingMs - (nowMs - atMs));
    }
  }

  private final AtomicLong ownMs = new AtomicLong();
  private volatile Noticed noticed = new Noticed(0, 0);

  /**
   * Called when this instance sends a prompt.
   *
   * @param prefillMs its expected prefill time
   */
  public void onSent(long prefillMs) {
    ownMs.addAndGet(prefillMs);
  }

  /**
   * Called when the first event of an own prompt has arrived or its request has ended.
   *
   * @param prefillMs the value passed when it was sent
   */
  public void onPrefillDone(long prefillMs) {
    ownMs.addAndGet(-prefillMs);
  }

  /**
   * Called when another instance has sent a prompt to the upstream.
   *
   * @param prefillMs its expected prefill time
   * @param nowMs the current time
   */
  public synchronized void onNotice(double prefillMs, long nowMs) {
    noticed = new Noticed(noticed.remainingMs(nowMs) + prefillMs, nowMs);
  }

  /**
   * Estimates the prefill time that is still ahead of a new prompt.
   *
   * @param nowMs the current time
   * @return the time of own prompts without a first event, and of noticed ones less the time passed
   */
  public double pendingMs(long nowMs) {
    return ownMs.get() + noticed.remainingMs(nowMs);
  }
}
