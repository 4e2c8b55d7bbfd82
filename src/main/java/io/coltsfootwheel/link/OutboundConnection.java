package io.coltsfootwheel.link;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Connection to one peer for one channel, with a bounded send queue. Reconnects after a failure.
 */
final class OutboundConnection {
  /**
   * Memory charged for a queued frame besides its payload, so that empty frames are bounded too.
   */
  private static final int FRAME_OVERHEAD_BYTES = 64;

  /**
   * Bytes after which a batch is written and flushed; larger batches do not increase throughput.
   */
  private static final int BATCH_BYTES = 256 * 1024;

  private final InstanceId peer;
  private final Address address;
  private final LinkChannel linkChannel;
  private final LinkContext context;
  private final ArrayDeque<Frame> queue = new ArrayDeque<>();

  private State state = State.IDLE;
  private Channel activeChannel;
  private int queuedCostBytes;
  private boolean writeScheduled;
  private int failedAttempts;
  private long lastUsedNanos;

  OutboundConnection(
      InstanceId peer, Address address, LinkChannel linkChannel, LinkContext context) {
    this.peer = peer;
    this.address = address;
    this.linkChannel = linkChannel;
    this.context = context;
  }

  InstanceId peer() {
    return peer;
  }

  Address address() {
    return address;
  }

  LinkChannel linkChannel() {
    return linkChannel;
  }

  /**
   * Queues a frame. Control frames are rejected while the connection is down, because they would be
   * outdated by the time it is restored.
   */
  boolean send(Frame frame) {
    boolean startConnecting = false;
    synchronized (this) {
      if (state == State.CLOSED || state == State.BACKOFF || isControlDown()) {
        return false;
      }
      int costBytes = queueCostBytes(frame);
      if (queuedCostBytes + costBytes > context.settings().maxQueueBytes()) {
        context.failureLog().count(LinkFailure.QUEUE_FULL);
        return false;
      }
      queuedCostBytes += costBytes;
      queue.add(frame);
      if (state == State.IDLE) {
        state = State.CONNECTING;
        startConnecting = true;
      } else if (state == State.CONNECTED) {
        scheduleWrite();
      }
    }
    if (startConnecting) {
      context.connect(this);
    }
    return true;
  }

  /** Starts to connect if there is no connection, attempt or backoff. */
  void open() {
    synchronized (this) {
      if (state != State.IDLE) {
        return;
      }
      state = State.CONNECTING;
    }
    context.connect(this);
  }

  void onConnected(Channel channel, String session) {
    synchronized (this) {
      if (state != State.CONNECTING) {
        channel.close();
        return;
      }
      state = State.CONNECTED;
      activeChannel = channel;
      failedAttempts = 0;
      lastUsedNanos = System.nanoTime();
      scheduleWrite();
    }
    context.failureLog().connected(logName());
    context.listener().connected(peer, session, linkChannel);
    if (linkChannel == LinkChannel.DATA) {
      closeWhenIdle(channel);
    }
  }

  /**
   * Handles a failed connection attempt or the loss of an established connection.
   *
   * @param closedChannel the closed channel if its handshake was complete, empty for a failed
   *     attempt
   * @param failure the reason, if known
   */
  void onClosed(Optional<Channel> closedChannel, Optional<LinkFailure> failure) {
    boolean lost;
    List<Frame> unwritten;
    synchronized (this) {
      boolean isCurrent =
          closedChannel.isPresent()
              ? activeChannel == closedChannel.get()
              : state == State.CONNECTING;
      if (!isCurrent || state == State.CLOSED) {
        return;
      }
      lost = state == State.CONNECTED || !queue.isEmpty();
      activeChannel = null;
      unwritten = takeQueue();
      state = State.BACKOFF;
      failedAttempts++;
    }
    LinkFailure cause = failure.orElse(LinkFailure.CONNECT_FAILED);
    if (failure.isPresent() || !lost) {
      context.failureLog().connectionFailed(logName(), cause);
    } else {
      context.failureLog().connectionLost(logName());
    }
    reportLoss(lost, unwritten);
    context.schedule(this::retry, context.backoffMillis(failedAttempts));
  }

  /** Closes the current channel, if any; {@link #onClosed} then schedules a reconnection. */
  void closeActiveChannel() {
    Channel channelToClose;
    synchronized (this) {
      channelToClose = activeChannel;
    }
    if (channelToClose != null) {
      channelToClose.close();
    }
  }

  /** Closes this connection permanently. */
  void shutdown() {
    Channel channelToClose;
    boolean lost;
    List<Frame> unwritten;
    synchronized (this) {
      lost = state == State.CONNECTED || !queue.isEmpty();
      state = State.CLOSED;
      channelToClose = activeChannel;
      activeChannel = null;
      unwritten = takeQueue();
    }
    if (channelToClose != null) {
      channelToClose.close();
    }
    reportLoss(lost, unwritten);
  }

  boolean isShutDown() {
    synchronized (this) {
      return state == State.CLOSED;
    }
  }

  /** Writes queued frames while the channel is writable; runs on the event loop of the channel. */
  void writeQueuedFrames() {
    Channel channel = null;
    List<Frame> batch = nextBatch();
    while (!batch.isEmpty()) {
      synchronized (this) {
        channel = activeChannel;
      }
      if (channel == null) {
        return;
      }
      FrameEncoder.write(channel, batch);
      channel.flush();
      batch = nextBatch();
    }
  }

  private synchronized List<Frame> nextBatch() {
    writeScheduled = false;
    if (activeChannel == null || !activeChannel.isWritable()) {
      return List.of();
    }
    List<Frame> batch = new ArrayList<>(Math.min(queue.size(), 64));
    int bytes = 0;
    while (!queue.isEmpty() && bytes < BATCH_BYTES) {
      Frame frame = queue.poll();
      batch.add(frame);
      context.traffic().count(frame, LinkDirection.SENT);
      bytes += queueCostBytes(frame);
    }
    queuedCostBytes -= bytes;
    lastUsedNanos = System.nanoTime();
    return batch;
  }

  /**
   * Schedules at most one write task at a time; it writes all frames that are queued until it runs.
   */
  private void scheduleWrite() {
    if (!writeScheduled) {
      writeScheduled = true;
      activeChannel.eventLoop().execute(this::writeQueuedFrames);
    }
  }

  private void retry() {
    synchronized (this) {
      if (state != State.BACKOFF) {
        return;
      }
      state = State.IDLE;
    }
    if (linkChannel == LinkChannel.CONTROL) {
      open();
    }
  }

  private void closeWhenIdle(Channel channel) {
    long idleTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(context.settings().idleTimeoutMillis());
    boolean idle;
    synchronized (this) {
      if (activeChannel != channel) {
        return;
      }
      idle = queue.isEmpty() && System.nanoTime() - lastUsedNanos >= idleTimeoutNanos;
      if (idle) {
        activeChannel = null;
        state = State.IDLE;
      }
    }
    if (idle) {
      channel.close();
    } else {
      channel
          .eventLoop()
          .schedule(() -> closeWhenIdle(channel), idleTimeoutNanos / 2, TimeUnit.NANOSECONDS);
    }
  }

  private boolean isControlDown() {
    return linkChannel == LinkChannel.CONTROL && state != State.CONNECTED;
  }

  private List<Frame> takeQueue() {
    List<Frame> frames = List.copyOf(queue);
    queue.clear();
    queuedCostBytes = 0;
    writeScheduled = false;
    return frames;
  }

  /** Reports frames that were not written first: the peer has certainly not received them. */
  private void reportLoss(boolean lost, List<Frame> unwritten) {
    if (linkChannel == LinkChannel.DATA) {
      unwritten.forEach(frame -> context.listener().notWritten(peer, frame));
    }
    if (lost) {
      context.listener().disconnected(peer, linkChannel);
    }
  }

  private static int queueCostBytes(Frame frame) {
    return frame.payload().length + FRAME_OVERHEAD_BYTES;
  }

  private String logName() {
    return "to " + peer + " (" + linkChannel + ")";
  }

  private enum State {
    IDLE,
    CONNECTING,
    CONNECTED,
    BACKOFF,
    CLOSED
  }
}
