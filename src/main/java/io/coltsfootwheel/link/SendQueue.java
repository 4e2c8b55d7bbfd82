package io.coltsfootwheel.link;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Frames that wait to be written to one connection, bounded by size; not thread-safe. */
final class SendQueue {
  private static final int EXPECTED_BATCH_FRAMES = 64;

  private final int maxBytes;
  private final ArrayDeque<Frame> frames = new ArrayDeque<>();
  private int costBytes;

  SendQueue(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Adds a frame; returns false when the queue is full. */
  boolean offer(Frame frame) {
    if (costBytes + costBytes(frame) > maxBytes) {
      return false;
    }
    costBytes += costBytes(frame);
    frames.add(frame);
    return true;
  }

  boolean isEmpty() {
    return frames.isEmpty();
  }

  /** Removes frames from the head until their size reaches a limit. */
  List<Frame> takeBatch(int limitBytes) {
    List<Frame> batch = new ArrayList<>(Math.min(frames.size(), EXPECTED_BATCH_FRAMES));
    int batchBytes = 0;
    while (!frames.isEmpty() && batchBytes < limitBytes) {
      Frame frame = frames.poll();
      batch.add(frame);
      batchBytes += costBytes(frame);
    }
    costBytes -= batchBytes;
    return batch;
  }

  List<Frame> takeAll() {
    List<Frame> all = List.copyOf(frames);
    frames.clear();
    costBytes = 0;
    return all;
  }

  private static int costBytes(Frame frame) {
    return frame.payload().length + SendMemory.FRAME_OVERHEAD_BYTES;
  }
}
