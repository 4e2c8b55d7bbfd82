package io.coltsfootwheel.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.TimeUnit;

/** Tracks since when a peer has taken none of the bytes that wait to be written to it. */
final class WriteProgress {
  private long completedWrites;
  private long seenCompletedWrites;
  private long seenBytesOfCurrentWrite;
  private long lastProgressNanos;

  WriteProgress(long nowNanos) {
    this.lastProgressNanos = nowNanos;
  }

  /** Begins to track after a time in which nothing waited. */
  void begin(long nowNanos) {
    lastProgressNanos = nowNanos;
  }

  /** Counts a write that has ended. */
  void countCompleted() {
    completedWrites++;
  }

  /** Compares with the last call whether the peer has taken any bytes. */
  void update(Channel channel, long nowNanos) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    long bytesOfCurrentWrite = buffer == null ? 0 : buffer.currentProgress();
    if (completedWrites != seenCompletedWrites || bytesOfCurrentWrite != seenBytesOfCurrentWrite) {
      lastProgressNanos = nowNanos;
    }
    seenCompletedWrites = completedWrites;
    seenBytesOfCurrentWrite = bytesOfCurrentWrite;
  }

  /** Returns the time for which the peer had taken no bytes at the last update. */
  long stalledMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - lastProgressNanos);
  }

  /** Returns the bytes that wait to be written. */
  static long unwrittenBytes(Channel channel) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
  }
}
