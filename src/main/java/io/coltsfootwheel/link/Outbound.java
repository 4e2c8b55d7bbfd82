package io.coltsfootwheel.link;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Connection to one peer for one channel, with its bounded queue and its reconnection. */
final class Outbound {
  /** Cost of a queued frame besides its payload, so that empty frames are bounded too. */
  private static final int FRAME_COST_BYTES = 64;

  /** Bytes handed to the socket at once; larger batches gain no throughput. */
  private static final int BATCH_BYTES = 256 * 1024;

  private final InstanceId peer;
  private final Address address;
  private final LinkChannel channel;
  private final LinkContext context;
  private final ArrayDeque<Frame> queue = new ArrayDeque<>();

  private State state = State.IDLE;
  private Channel connection;
  private int queuedBytes;
  private boolean drainScheduled;
  private int failedAttempts;
  private long lastUsedNanos;

  Outbound(InstanceId peer, Address address, LinkChannel channel, LinkContext context) {
    this.peer = peer;
    this.address = address;
    this.channel = channel;
    this.context = context;
  }

  InstanceId peer() {
    return peer;
  }

  Address address() {
    return address;
  }

  LinkChannel channel() {
    return channel;
  }

  /** Queues a frame; control frames are not kept for a later connection because they age. */
  boolean send(Frame frame) {
    boolean connect = false;
    synchronized (this) {
      if (state == State.CLOSED || state == State.BACKOFF || isControlDown()) {
        return false;
      }
      int cost = cost(frame);
      if (queuedBytes + cost > context.settings().queueBytes()) {
        context.log().count(LinkFailure.QUEUE_FULL);
        return false;
      }
      queuedBytes += cost;
      queue.add(frame);
      if (state == State.IDLE) {
        state = State.CONNECTING;
        connect = true;
      } else if (state == State.UP) {
        scheduleDrain();
      }
    }
    if (connect) {
      context.connect(this);
    }
    return true;
  }

  /** Opens the connection if there is none. */
  void open() {
    synchronized (this) {
      if (state != State.IDLE) {
        return;
      }
      state = State.CONNECTING;
    }
    context.connect(this);
  }

  void opened(Channel opened, String session) {
    synchronized (this) {
      if (state != State.CONNECTING) {
        opened.close();
        return;
      }
      state = State.UP;
      connection = opened;
      failedAttempts = 0;
      lastUsedNanos = System.nanoTime();
      scheduleDrain();
    }
    context.log().up(name());
    context.listener().connected(peer, session, channel);
    if (channel == LinkChannel.DATA) {
      watchIdle(opened);
    }
  }

  /**
   * Handles the end of an attempt or of an open connection.
   *
   * @param opened the connection if its handshake was complete, empty for a failed attempt
   * @param failure why, if known
   */
  void closed(Optional<Channel> opened, Optional<LinkFailure> failure) {
    boolean lost;
    synchronized (this) {
      boolean current = opened.isPresent() ? connection == opened.get() : state == State.CONNECTING;
      if (!current || state == State.CLOSED) {
        return;
      }
      lost = state == State.UP || !queue.isEmpty();
      connection = null;
      clearQueue();
      state = State.BACKOFF;
      failedAttempts++;
    }
    LinkFailure cause = failure.orElse(LinkFailure.CONNECT_FAILED);
    if (failure.isPresent() || !lost) {
      context.log().failed(name(), cause);
    } else {
      context.log().lost(name());
    }
    if (lost) {
      context.listener().disconnected(peer, channel);
    }
    context.schedule(this::retry, context.backoffMillis(failedAttempts));
  }

  /** Drops the present connection, which is then opened anew. */
  void reset() {
    Channel dropped;
    synchronized (this) {
      dropped = connection;
    }
    if (dropped != null) {
      dropped.close();
    }
  }

  /** Ends this connection for good. */
  void shutdown() {
    Channel ended;
    boolean lost;
    synchronized (this) {
      lost = state == State.UP || !queue.isEmpty();
      state = State.CLOSED;
      ended = connection;
      connection = null;
      clearQueue();
    }
    if (ended != null) {
      ended.close();
    }
    if (lost) {
      context.listener().disconnected(peer, channel);
    }
  }

  boolean isShutDown() {
    synchronized (this) {
      return state == State.CLOSED;
    }
  }

  /** Writes queued frames while the socket accepts them; runs on the connection's event loop. */
  void drain() {
    Channel open = null;
    List<Frame> batch = nextBatch();
    while (!batch.isEmpty()) {
      synchronized (this) {
        open = connection;
      }
      if (open == null) {
        return;
      }
      FrameEncoder.write(open, batch);
      open.flush();
      batch = nextBatch();
    }
  }

  private synchronized List<Frame> nextBatch() {
    drainScheduled = false;
    if (connection == null || !connection.isWritable()) {
      return List.of();
    }
    List<Frame> batch = new ArrayList<>(Math.min(queue.size(), 64));
    int bytes = 0;
    while (!queue.isEmpty() && bytes < BATCH_BYTES) {
      Frame frame = queue.poll();
      batch.add(frame);
      context.traffic().count(frame, LinkDirection.SENT);
      bytes += cost(frame);
    }
    queuedBytes -= bytes;
    lastUsedNanos = System.nanoTime();
    return batch;
  }

  /** One task on the event loop writes all frames queued until it runs, with one flush. */
  private void scheduleDrain() {
    if (!drainScheduled) {
      drainScheduled = true;
      connection.eventLoop().execute(this::drain);
    }
  }

  private void retry() {
    synchronized (this) {
      if (state != State.BACKOFF) {
        return;
      }
      state = State.IDLE;
    }
    if (channel == LinkChannel.CONTROL) {
      open();
    }
  }

  private void watchIdle(Channel open) {
    long idleNanos = TimeUnit.MILLISECONDS.toNanos(context.settings().idleMillis());
    boolean idle;
    synchronized (this) {
      if (connection != open) {
        return;
      }
      idle = queue.isEmpty() && System.nanoTime() - lastUsedNanos >= idleNanos;
      if (idle) {
        connection = null;
        state = State.IDLE;
      }
    }
    if (idle) {
      open.close();
    } else {
      open.eventLoop().schedule(() -> watchIdle(open), idleNanos / 2, TimeUnit.NANOSECONDS);
    }
  }

  private boolean isControlDown() {
    return channel == LinkChannel.CONTROL && state != State.UP;
  }

  private void clearQueue() {
    queue.clear();
    queuedBytes = 0;
    drainScheduled = false;
  }

  private static int cost(Frame frame) {
    return frame.payload().length + FRAME_COST_BYTES;
  }

  private String name() {
    return "to " + peer + " (" + channel + ")";
  }

  private enum State {
    IDLE,
    CONNECTING,
    UP,
    BACKOFF,
    CLOSED
  }
}
