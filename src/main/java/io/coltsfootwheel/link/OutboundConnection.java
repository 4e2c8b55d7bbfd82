package io.coltsfootwheel.link;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.netty.channel.Channel;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Connection to one peer for one channel, with a bounded send queue. Reconnects after a failure.
 */
final class OutboundConnection {
  /**
   * Bytes after which a batch is written and flushed; larger batches do not increase throughput.
   */
  private static final int BATCH_BYTES = 256 * 1024;

  private final InstanceId peer;
  private final Address address;
  private final LinkChannel linkChannel;
  private final LinkContext context;

  private final SilenceCheck silenceCheck;
  private final SendQueue queue;

  private State state = State.IDLE;
  private SendMemory.Account memory;
  private Channel activeChannel;
  private Optional<ConnectionProber> prober = Optional.empty();
  private Optional<Replacement> replacement = Optional.empty();
  private boolean writeScheduled;
  private int failedAttempts;
  private long lastUsedNanos;

  /** Creates a control connection. */
  static OutboundConnection control(InstanceId peer, Address address, LinkContext context) {
    return new OutboundConnection(peer, address, LinkChannel.CONTROL, context, Optional.empty());
  }

  /** Creates a data connection, which counts as silent only while the control connection works. */
  static OutboundConnection data(
      InstanceId peer, Address address, LinkContext context, OutboundConnection control) {
    return new OutboundConnection(peer, address, LinkChannel.DATA, context, Optional.of(control));
  }

  private OutboundConnection(
      InstanceId peer,
      Address address,
      LinkChannel linkChannel,
      LinkContext context,
      Optional<OutboundConnection> control) {
    this.peer = peer;
    this.address = address;
    this.linkChannel = linkChannel;
    this.context = context;
    this.silenceCheck =
        control
            .<SilenceCheck>map(c -> new ControlEvidence(c::prober))
            .orElseGet(ReplacementCheck::new);
    this.queue = new SendQueue(context.settings().maxQueueBytes());
    this.memory = context.sendMemory().open(this::closeForMemory);
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
      if (!queue.offer(frame)) {
        context.failureLog().count(LinkFailure.QUEUE_FULL);
        return false;
      }
      memory.add(frame);
      if (state == State.IDLE) {
        state = State.CONNECTING;
        startConnecting = true;
      } else if (state == State.CONNECTED) {
        scheduleWrite();
      }
    }
    if (startConnecting) {
      connect();
    }
    context.sendMemory().enforce();
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
    connect();
  }

  private void connect() {
    ConnectionAttempt attempt;
    synchronized (this) {
      attempt = new ConnectionAttempt(this, Optional.empty(), failedAttempts);
    }
    context.connect(attempt);
  }

  LinkTraffic traffic() {
    return context.traffic();
  }

  /**
   * Tells whether the connection that an attempt opens is needed. The peer ends its earlier
   * connection when the handshake of a new one completes, so the handshake of one that is not
   * needed must not complete.
   */
  synchronized boolean needs(ConnectionAttempt attempt) {
    return state == State.CONNECTING
        || state == State.BACKOFF
        || state == State.CONNECTED && isReplacing(attempt);
  }

  private boolean isReplacing(ConnectionAttempt attempt) {
    return replacement.isPresent()
        && attempt.replacement().equals(replacement)
        && prober
            .filter(p -> p.hasAnsweredProbeSince(replacement.get().probeSentNanos() - 1))
            .isEmpty();
  }

  /**
   * Handles a completed handshake. The new connection takes the place of one that seems silent.
   *
   * @param attempt the attempt
   * @param channel the new connection
   * @param session id of the peer's process
   * @param newProber probes the connection; empty when the peer does not answer probes
   */
  void onConnected(
      ConnectionAttempt attempt,
      Channel channel,
      String session,
      Optional<ConnectionProber> newProber) {
    Optional<Replacement> completed;
    Optional<Channel> silentChannel;
    synchronized (this) {
      if (!needs(attempt)) {
        channel.close();
        return;
      }
      completed = replacement;
      silentChannel = Optional.ofNullable(activeChannel);
      endActiveChannel();
      state = State.CONNECTED;
      activeChannel = channel;
      prober = newProber;
      failedAttempts = 0;
      lastUsedNanos = System.nanoTime();
      scheduleWrite();
    }
    silentChannel.ifPresent(silent -> endSilent(silent, completed.orElseThrow()));
    context.failureLog().connected(logName());
    context.listener().connected(peer, session, linkChannel);
    if (linkChannel == LinkChannel.DATA) {
      closeWhenIdle(channel);
    }
  }

  private void endSilent(Channel silent, Replacement completed) {
    reportSilent(completed.unansweredMillis());
    context.failureLog().connectionFailed(logName(), LinkFailure.SILENT);
    context.listener().disconnected(peer, linkChannel);
    silent.close();
  }

  /** Handles an attempt that ended before its handshake was complete. */
  void onAttemptFailed(ConnectionAttempt attempt, LinkFailure failure) {
    boolean lost;
    List<Frame> unwritten;
    synchronized (this) {
      attempt.replacement().ifPresent(Replacement::attemptFailed);
      if (attempt.replacement().isPresent() || state != State.CONNECTING) {
        return;
      }
      lost = !queue.isEmpty();
      unwritten = takeQueue();
      beginBackoff();
    }
    context.failureLog().connectionFailed(logName(), failure);
    reportLoss(lost, unwritten);
    scheduleRetry();
  }

  /**
   * Handles the loss of an established connection.
   *
   * @param closedChannel the connection
   * @param failure the reason, if known
   */
  void onClosed(Channel closedChannel, Optional<LinkFailure> failure) {
    List<Frame> unwritten;
    synchronized (this) {
      if (activeChannel != closedChannel || state == State.CLOSED) {
        return;
      }
      endActiveChannel();
      unwritten = takeQueue();
      beginBackoff();
    }
    failure.ifPresentOrElse(
        cause -> context.failureLog().connectionFailed(logName(), cause),
        () -> context.failureLog().connectionLost(logName()));
    reportLoss(true, unwritten);
    scheduleRetry();
  }

  /**
   * Ends the connection because the frames that wait on all connections use too much memory, and
   * this one holds most of them. An attempt to connect goes on without frames.
   */
  private void closeForMemory() {
    Optional<Channel> channelToClose;
    boolean lost;
    List<Frame> unwritten;
    synchronized (this) {
      if (state == State.CLOSED) {
        return;
      }
      lost = state == State.CONNECTED || !queue.isEmpty();
      channelToClose = Optional.ofNullable(activeChannel);
      unwritten = takeQueue();
      memory = context.sendMemory().open(this::closeForMemory);
      if (state == State.CONNECTED) {
        endActiveChannel();
        beginBackoff();
      }
    }
    context.failureLog().connectionFailed(logName(), LinkFailure.MEMORY_EXCEEDED);
    channelToClose.ifPresent(Channel::close);
    reportLoss(lost, unwritten);
    if (channelToClose.isPresent()) {
      scheduleRetry();
    }
  }

  private void beginBackoff() {
    state = State.BACKOFF;
    failedAttempts++;
  }

  private void scheduleRetry() {
    context.schedule(this::retry, context.backoffMillis(failedAttempts));
  }

  SilenceCheck silenceCheck() {
    return silenceCheck;
  }

  /**
   * Check of a control connection. On a full link each answer is late, and a new connection is no
   * faster, so it is kept until another one is open in its place, or could not be opened within the
   * timeout of a handshake.
   */
  private final class ReplacementCheck implements SilenceCheck {
    @Override
    public void probeSent() {}

    @Override
    public boolean showsSilence(long probeSentNanos) {
      Replacement.Step step;
      ConnectionAttempt attempt;
      synchronized (OutboundConnection.this) {
        if (state != State.CONNECTED) {
          return false;
        }
        Replacement opening =
            replacement
                .filter(r -> r.probeSentNanos() == probeSentNanos)
                .orElseGet(() -> new Replacement(probeSentNanos));
        replacement = Optional.of(opening);
        step = opening.nextStep(context.settings().handshakeTimeoutMillis());
        attempt =
            new ConnectionAttempt(OutboundConnection.this, replacement, opening.failedAttempts());
      }
      if (step == Replacement.Step.CONNECT) {
        context.connect(attempt);
      }
      return step == Replacement.Step.GIVE_UP;
    }
  }

  private synchronized Optional<ConnectionProber> prober() {
    return prober;
  }

  void reportSilent(long unansweredMillis) {
    context.listener().silent(peer, linkChannel, unansweredMillis);
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
      endActiveChannel();
      unwritten = takeQueue();
      memory.close();
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

  /** Writes queued frames while the channel is writable. */
  void writeQueuedFrames() {
    Optional<Channel> channel = currentChannel();
    while (channel.isPresent() && writeBatch(channel.get())) {
      channel = currentChannel();
    }
  }

  /**
   * Writes one batch on the event loop of the channel. A task of the connection before is passed on
   * to that loop, so that two tasks never write at once.
   *
   * @return whether this task has to go on
   */
  private boolean writeBatch(Channel channel) {
    if (!channel.eventLoop().inEventLoop()) {
      channel.eventLoop().execute(this::writeQueuedFrames);
      return false;
    }
    SendMemory.Account batchMemory;
    List<Frame> batch;
    synchronized (this) {
      batchMemory = memory;
      batch = nextBatch(channel);
    }
    if (batch.isEmpty()) {
      return !currentChannel().equals(Optional.of(channel));
    }
    FrameEncoder.write(channel, batch).addListener(written -> batchMemory.remove(batch));
    prober().ifPresent(ConnectionProber::framesWritten);
    channel.flush();
    return true;
  }

  private synchronized Optional<Channel> currentChannel() {
    return Optional.ofNullable(activeChannel);
  }

  private synchronized List<Frame> nextBatch(Channel channel) {
    writeScheduled = false;
    if (activeChannel != channel || !channel.isWritable()) {
      return List.of();
    }
    List<Frame> batch = queue.takeBatch(BATCH_BYTES);
    batch.forEach(frame -> context.traffic().count(frame, LinkDirection.SENT));
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
        endActiveChannel();
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

  private void endActiveChannel() {
    activeChannel = null;
    prober = Optional.empty();
    replacement = Optional.empty();
  }

  private List<Frame> takeQueue() {
    writeScheduled = false;
    List<Frame> unwritten = queue.takeAll();
    memory.remove(unwritten);
    return unwritten;
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
