package io.coltsfootwheel.link;

import java.util.concurrent.atomic.LongAdder;

/** Counts frames and their bytes by kind and direction. */
final class LinkTraffic {
  private final LongAdder[] frames = adders();
  private final LongAdder[] bytes = adders();

  void count(Frame frame, LinkDirection direction) {
    int index = index(frame.kind(), direction);
    frames[index].increment();
    bytes[index].add(FrameEncoder.HEADER_BYTES + frame.payload().length);
  }

  long frames(FrameKind kind, LinkDirection direction) {
    return frames[index(kind, direction)].sum();
  }

  long bytes(FrameKind kind, LinkDirection direction) {
    return bytes[index(kind, direction)].sum();
  }

  private static int index(FrameKind kind, LinkDirection direction) {
    return kind.ordinal() * LinkDirection.values().length + direction.ordinal();
  }

  private static LongAdder[] adders() {
    LongAdder[] adders = new LongAdder[FrameKind.values().length * LinkDirection.values().length];
    for (int i = 0; i < adders.length; i++) {
      adders[i] = new LongAdder();
    }
    return adders;
  }
}
