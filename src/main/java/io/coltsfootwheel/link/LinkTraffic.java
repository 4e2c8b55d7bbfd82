package io.coltsfootwheel.link;

import java.util.concurrent.atomic.LongAdder;

/** Counts frames and their sizes by kind and direction. */
final class LinkTraffic {
  private final LongAdder[] frameCounters = newCounters();
  private final LongAdder[] byteCounters = newCounters();

  void count(Frame frame, LinkDirection direction) {
    int index = counterIndex(frame.kind(), direction);
    frameCounters[index].increment();
    byteCounters[index].add(FrameEncoder.HEADER_BYTES + frame.payload().length);
  }

  long frameCount(FrameKind kind, LinkDirection direction) {
    return frameCounters[counterIndex(kind, direction)].sum();
  }

  long byteCount(FrameKind kind, LinkDirection direction) {
    return byteCounters[counterIndex(kind, direction)].sum();
  }

  private static int counterIndex(FrameKind kind, LinkDirection direction) {
    return kind.ordinal() * LinkDirection.values().length + direction.ordinal();
  }

  private static LongAdder[] newCounters() {
    LongAdder[] counters = new LongAdder[FrameKind.values().length * LinkDirection.values().length];
    for (int i = 0; i < counters.length; i++) {
      counters[i] = new LongAdder();
    }
    return counters;
  }
}
