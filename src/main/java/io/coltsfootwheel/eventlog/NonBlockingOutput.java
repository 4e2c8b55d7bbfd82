package io.coltsfootwheel.eventlog;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/**
 * Output stream that never blocks its callers: a thread of its own writes to the target. A write
 * that finds the queue full is dropped, and the number of dropped writes is written later.
 */
final class NonBlockingOutput extends OutputStream {
  private static final int QUEUE_CAPACITY = 512;
  private static final long WAIT_INTERVAL_MILLIS = 5;

  private final OutputStream target;
  private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final AtomicInteger unwritten = new AtomicInteger();
  private final LongAdder dropped = new LongAdder();

  /** Creates a stream and starts its thread. */
  NonBlockingOutput(String threadName, OutputStream target) {
    this.target = target;
    Thread writer = new Thread(this::run, threadName);
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void write(int value) {
    write(new byte[] {(byte) value}, 0, 1);
  }

  @Override
  public void write(byte[] bytes, int offset, int length) {
    byte[] copy = new byte[length];
    System.arraycopy(bytes, offset, copy, 0, length);
    unwritten.incrementAndGet();
    if (!queue.offer(copy)) {
      unwritten.decrementAndGet();
      dropped.increment();
    }
  }

  /** Waits until all that was queued is written, or a time has passed. */
  void awaitWritten(long timeoutMillis) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    while (unwritten.get() > 0 && System.nanoTime() - deadlineNanos < 0) {
      TimeUnit.MILLISECONDS.sleep(WAIT_INTERVAL_MILLIS);
    }
  }

  private void run() {
    try {
      while (true) {
        writeToTarget(queue.take());
        unwritten.decrementAndGet();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeToTarget(byte[] bytes) {
    long dropCount = dropped.sumThenReset();
    try {
      if (dropCount > 0) {
        String notice = dropCount + " writes to this output were dropped\n";
        target.write(notice.getBytes(StandardCharsets.UTF_8));
      }
      target.write(bytes);
      target.flush();
    } catch (IOException e) {
      // The reader has gone or the disk is full: there is nowhere to report it.
      dropped.increment();
    }
  }
}
