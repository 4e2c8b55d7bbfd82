package io.coltsfootwheel.listener;

import io.netty.util.internal.PlatformDependent;

/**
 * Limits of this process, of which its listeners use shares.
 *
 * @param heapBytes largest heap
 * @param directBytes largest memory outside the heap for input and output
 * @param sockets sockets that may be open at once
 */
public record ProcessLimits(long heapBytes, long directBytes, int sockets) {
  /** Sockets that may be open when the settings name no limit. */
  public static final int DEFAULT_SOCKETS = 3_900;

  private static final long MEBIBYTE = 1024L * 1024;

  /** Listeners gain nothing by more memory; that of a larger process is left to its other parts. */
  private static final long MAX_HEAP_BYTES = 64 * MEBIBYTE;

  private static final long MAX_DIRECT_BYTES = 32 * MEBIBYTE;

  /**
   * Returns the limits of this process.
   *
   * @param sockets sockets that may be open at once
   * @return the limits
   */
  public static ProcessLimits ofProcess(int sockets) {
    return new ProcessLimits(
        Math.min(MAX_HEAP_BYTES, Runtime.getRuntime().maxMemory()),
        Math.min(MAX_DIRECT_BYTES, PlatformDependent.maxDirectMemory()),
        sockets);
  }

  /**
   * Returns the limits of this process when its settings name none.
   *
   * @return the limits
   */
  public static ProcessLimits ofProcess() {
    return ofProcess(DEFAULT_SOCKETS);
  }
}
