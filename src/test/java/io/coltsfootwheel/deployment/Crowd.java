package io.coltsfootwheel.deployment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that follow one {@link CrowdScript} at the same time. A connection that the server has
 * closed is opened again until the number of all connections is reached. The crowd ends by itself
 * after its time limit.
 */
final class Crowd implements AutoCloseable {
  private static final long TIME_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(90);
  private static final long SELECT_MILLIS = 20;

  private final InetSocketAddress server;
  private final CrowdScript script;
  private final int maxOpened;
  private final Selector selector;
  private final List<CrowdConnection> connections = new ArrayList<>();
  private final Thread thread = new Thread(this::run, "crowd");
  private final AtomicLong progressNanos = new AtomicLong(System.nanoTime());
  private final long startNanos = System.nanoTime();
  private volatile int opened;
  private volatile int ended;
  private volatile long sentBytes;
  private volatile boolean stopped;

  /**
   * Starts a crowd.
   *
   * @param server address of the server
   * @param script what each connection sends
   * @param concurrent connections at the same time
   * @param maxOpened connections that are opened in all
   */
  Crowd(InetSocketAddress server, CrowdScript script, int concurrent, int maxOpened)
      throws IOException {
    this.server = server;
    this.script = script;
    this.maxOpened = maxOpened;
    this.selector = Selector.open();
    for (int i = 0; i < concurrent; i++) {
      connections.add(new CrowdConnection(script));
    }
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns how long no connection has sent a byte or was opened, in milliseconds. */
  long quietMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - progressNanos.get());
  }

  /** Describes what the crowd has done. */
  String summary() {
    return "%d connections opened, %d ended, %d KiB sent"
        .formatted(opened, ended, sentBytes / 1024);
  }

  private void run() {
    try {
      while (!stopped && System.nanoTime() - startNanos < TIME_LIMIT_NANOS) {
        openMissing();
        selector.select(key -> advance((CrowdConnection) key.attachment()), SELECT_MILLIS);
        resumePaused();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } finally {
      connections.forEach(CrowdConnection::close);
    }
  }

  private void openMissing() throws IOException {
    for (CrowdConnection connection : connections) {
      if (!connection.isOpen() && opened < maxOpened) {
        connection.open(server, selector);
        opened++;
        noteProgress();
      }
    }
  }

  private void resumePaused() {
    for (CrowdConnection connection : connections) {
      if (connection.resume(System.nanoTime())) {
        noteProgress();
      }
    }
  }

  private void advance(CrowdConnection connection) {
    long sent = connection.advance();
    if (sent > 0) {
      sentBytes += sent;
      noteProgress();
    }
    if (!connection.isOpen()) {
      ended++;
    }
  }

  private void noteProgress() {
    progressNanos.set(System.nanoTime());
  }

  /** Closes all connections. */
  @Override
  public void close() throws IOException {
    stopped = true;
    selector.wakeup();
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    selector.close();
  }
}
