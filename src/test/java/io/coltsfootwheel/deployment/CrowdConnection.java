package io.coltsfootwheel.deployment;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Connection of a {@link Crowd}, opened again after its end; confined to one thread. */
final class CrowdConnection {
  private static final int TURN_BYTES = 128 * 1024;

  private final CrowdScript script;
  private final ByteBuffer answer = ByteBuffer.allocate(TURN_BYTES);
  private Optional<SelectionKey> key = Optional.empty();
  private Optional<ByteBuffer> part = Optional.empty();
  private int partNumber;
  private boolean paused;
  private long pausedUntilNanos;

  CrowdConnection(CrowdScript script) {
    this.script = script;
  }

  boolean isOpen() {
    return key.isPresent();
  }

  /** Begins to connect. */
  void open(InetSocketAddress server, Selector selector) throws IOException {
    SocketChannel channel = SocketChannel.open();
    channel.configureBlocking(false);
    partNumber = 0;
    part = script.part(0).map(ByteBuffer::wrap);
    paused = false;
    boolean connected = channel.connect(server);
    key = Optional.of(channel.register(selector, SelectionKey.OP_CONNECT, this));
    if (connected) {
      selectOperations();
    }
  }

  /** Connects, sends and reads what is possible; returns the number of bytes sent. */
  long advance() {
    SelectionKey current = key.orElseThrow();
    try {
      if (current.isConnectable()) {
        channel().finishConnect();
        selectOperations();
        return 0;
      }
      if (current.isReadable()) {
        read();
      }
      return isOpen() && current.isWritable() ? send() : 0;
    } catch (IOException e) {
      close();
      return 0;
    }
  }

  /** Goes on when a pause is over; returns whether one has ended. */
  boolean resume(long nowNanos) {
    if (!isOpen() || !paused || nowNanos - pausedUntilNanos < 0) {
      return false;
    }
    paused = false;
    selectOperations();
    return true;
  }

  private SocketChannel channel() {
    return (SocketChannel) key.orElseThrow().channel();
  }

  private void selectOperations() {
    int writes = part.isPresent() && !paused ? SelectionKey.OP_WRITE : 0;
    int reads = script.readsAnswers() ? SelectionKey.OP_READ : 0;
    key.orElseThrow().interestOps(writes | reads);
  }

  private void read() throws IOException {
    answer.clear();
    if (channel().read(answer) < 0) {
      close();
    }
  }

  private long send() throws IOException {
    long sent = 0;
    while (sent < TURN_BYTES && part.isPresent() && !paused) {
      sent += channel().write(part.get());
      if (part.get().hasRemaining()) {
        return sent;
      }
      startNextPart();
    }
    selectOperations();
    if (part.isEmpty()) {
      end();
    }
    return sent;
  }

  private void startNextPart() {
    partNumber++;
    part = script.part(partNumber).map(ByteBuffer::wrap);
    if (script.pauseMillis() > 0) {
      paused = true;
      pausedUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(script.pauseMillis());
    }
  }

  private void end() throws IOException {
    switch (script.end()) {
      case HALF_CLOSE -> channel().shutdownOutput();
      case RESET -> {
        channel().setOption(StandardSocketOptions.SO_LINGER, 0);
        close();
      }
      default -> {}
    }
  }

  void close() {
    try {
      if (isOpen()) {
        channel().close();
      }
    } catch (IOException e) {
      // The connection is given up all the same.
    }
    key = Optional.empty();
  }
}
