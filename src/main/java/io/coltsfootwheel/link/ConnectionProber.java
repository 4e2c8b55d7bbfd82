package io.coltsfootwheel.link;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Probes one outbound connection while frames are sent on it, and reports it as silent when a probe
 * stays unanswered. Probes travel with other frames where possible, so that they cost no wake-up.
 *
 * <p>All state is confined to the event loop of the connection, except what was answered last.
 */
final class ConnectionProber {
  /** Time between two probes on a connection on which frames are sent all the time. */
  private static final long INTERVAL_MILLIS = 250;

  /** Time after a probe at which the next one follows even without another frame to go with. */
  private static final long MAX_DELAY_MILLIS = 500;

  /** Longer than the pauses of a small machine, and short enough to be served again within 1 s. */
  private static final long ANSWER_TIMEOUT_MILLIS = 700;

  /** Longer than the transfer of a full send queue. */
  private static final long WRITE_TIMEOUT_MILLIS = 7_000;

  private static final long RECHECK_MILLIS = 100;

  /** What the prober needs to know about its connection, and reports of it. */
  interface Owner extends SilenceCheck {
    /**
     * Closes the connection because it is silent.
     *
     * @param unansweredMillis time since the unanswered probe was sent, in milliseconds
     */
    void closeSilent(long unansweredMillis);
  }

  private final Channel channel;
  private final LinkTraffic traffic;
  private final Owner owner;
  private boolean awaitsAnswer;
  private boolean isProbeWritten;
  private boolean hasFramesSinceProbe;
  private long probeSentNanos;
  private Optional<Future<?>> timer = Optional.empty();
  private volatile OptionalLong answeredProbeSentNanos = OptionalLong.empty();

  /**
   * Creates the prober of a connection whose handshake is complete.
   *
   * @param channel the connection
   * @param traffic counts the probes
   * @param owner decides on silence and closes the connection
   */
  ConnectionProber(Channel channel, LinkTraffic traffic, Owner owner) {
    this.channel = channel;
    this.traffic = traffic;
    this.owner = owner;
    this.probeSentNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS);
  }

  /**
   * Called after frames were written and before they are flushed, so that a probe goes with them.
   */
  void framesWritten() {
    hasFramesSinceProbe = true;
    if (awaitsAnswer) {
      return;
    }
    if (millisSinceProbe() >= INTERVAL_MILLIS) {
      writeProbe();
    } else if (timer.isEmpty()) {
      schedule(this::probe, MAX_DELAY_MILLIS - millisSinceProbe());
    }
  }

  /** Sends a probe unless one awaits its answer; may be called on any thread. */
  void probeNow() {
    channel
        .eventLoop()
        .execute(
            () -> {
              if (!awaitsAnswer) {
                probe();
              }
            });
  }

  /** Tells whether a probe was answered that was sent after a time; on any thread. */
  boolean hasAnsweredProbeSince(long nanos) {
    OptionalLong sentNanos = answeredProbeSentNanos;
    return sentNanos.isPresent() && sentNanos.getAsLong() - nanos > 0;
  }

  /** Handles the answer to a probe, or the news that a frame before the probe is arriving. */
  void answered(Frame answer) {
    traffic.count(answer, LinkDirection.RECEIVED);
    if (!awaitsAnswer) {
      return;
    }
    if (answer.payload().length > 0) {
      awaitAnswerAnew();
      return;
    }
    answeredProbeSentNanos = OptionalLong.of(probeSentNanos);
    awaitsAnswer = false;
    stop();
    if (hasFramesSinceProbe) {
      schedule(this::probe, Math.max(0, MAX_DELAY_MILLIS - millisSinceProbe()));
    }
  }

  /** Stops the timer; called when the connection has ended. */
  void stop() {
    timer.ifPresent(t -> t.cancel(false));
    timer = Optional.empty();
  }

  private void probe() {
    writeProbe();
    channel.flush();
  }

  private void writeProbe() {
    stop();
    awaitsAnswer = true;
    isProbeWritten = false;
    hasFramesSinceProbe = false;
    probeSentNanos = System.nanoTime();
    traffic.count(Frame.PROBE, LinkDirection.SENT);
    owner.probeSent();
    awaitAnswerAnew();
    channel
        .write(FrameEncoder.encode(channel.alloc(), Frame.PROBE))
        .addListener(written -> onProbeWritten(written.isSuccess()));
  }

  /** Starts the time for the answer only now, because the probe may wait behind large frames. */
  private void onProbeWritten(boolean isSuccess) {
    if (isSuccess && awaitsAnswer) {
      isProbeWritten = true;
      awaitAnswerAnew();
    }
  }

  private void awaitAnswerAnew() {
    stop();
    schedule(this::onOverdue, isProbeWritten ? ANSWER_TIMEOUT_MILLIS : WRITE_TIMEOUT_MILLIS);
  }

  private void onOverdue() {
    if (!channel.isActive()) {
      return;
    }
    if (owner.showsSilence(probeSentNanos)) {
      owner.closeSilent(millisSinceProbe());
    } else {
      schedule(this::onOverdue, RECHECK_MILLIS);
    }
  }

  private long millisSinceProbe() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - probeSentNanos);
  }

  private void schedule(Runnable task, long delayMillis) {
    timer = Optional.of(channel.eventLoop().schedule(task, delayMillis, TimeUnit.MILLISECONDS));
  }
}
