package io.coltsfootwheel.daemon;

import io.coltsfootwheel.bench.FenceChecker;
import io.coltsfootwheel.dispatch.TargetReply;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.simulation.SimulationClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Simulated target that can freeze, shed load, slow down and restart. Messages that arrive while it
 * is frozen are handled when it thaws.
 */
final class SimulatedTarget {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;

  private final SimulationClock clock;
  private final SplittableRandom random;
  private final RunChecker checker;
  private final TargetSpec initialSpec;
  private final double clockRate;
  private final List<Runnable> delayedMessages = new ArrayList<>();
  private long clockOffsetNanos;
  private FenceChecker fenceChecker;
  private int incarnation = 1;
  private boolean frozen;
  private boolean down;
  private double shedRate;
  private double slowRate;

  SimulatedTarget(
      SimulationClock clock,
      SplittableRandom random,
      RunChecker checker,
      TargetSpec spec,
      double clockRate) {
    this.clock = clock;
    this.random = random;
    this.checker = checker;
    this.initialSpec = spec;
    this.clockRate = clockRate;
    this.fenceChecker = new FenceChecker(this::localNanos);
  }

  String name() {
    return initialSpec.id().value();
  }

  /** Returns the identifier under which the simulated links know this target. */
  InstanceId linkEnd() {
    return InstanceId.of(name());
  }

  boolean checksFences() {
    return initialSpec.checksFences();
  }

  int incarnation() {
    return incarnation;
  }

  boolean isUp() {
    return !down && !frozen;
  }

  boolean isDown() {
    return down;
  }

  /** Sets the share of requests that are shed and the share that take up to 1.5 s. */
  void degrade(double shed, double slow) {
    shedRate = shed;
    slowRate = slow;
  }

  TargetSpec spec() {
    return new TargetSpec(
        initialSpec.id(),
        initialSpec.service(),
        initialSpec.address(),
        initialSpec.zone(),
        initialSpec.slots(),
        initialSpec.connections(),
        initialSpec.checksFences(),
        initialSpec.keepsIdentities(),
        "inc-" + incarnation);
  }

  private long localNanos() {
    return clockOffsetNanos + (long) (clock.now() * clockRate);
  }

  void freeze() {
    frozen = true;
    checker.event(name() + " freezes");
  }

  void thaw() {
    if (frozen) {
      frozen = false;
      checker.event(name() + " thaws with " + delayedMessages.size() + " waiting");
      List<Runnable> delivered = List.copyOf(delayedMessages);
      delayedMessages.clear();
      delivered.forEach(Runnable::run);
    }
  }

  /** Ends the process; the caller starts the next incarnation later. */
  void stop() {
    down = true;
    frozen = false;
    checker.event(name() + " ends");
    checker.processEnded(this);
    incarnation++;
    List<Runnable> onLost = List.copyOf(delayedMessages);
    delayedMessages.clear();
    onLost.forEach(Runnable::run);
  }

  /** Starts a new process with a new clock offset, as on another machine. */
  void start() {
    down = false;
    clockOffsetNanos = random.nextLong(100_000 * MILLI);
    fenceChecker = new FenceChecker(this::localNanos);
    checker.event(name() + " starts as " + spec().incarnation());
  }

  /** Handles a message now or when the target thaws. For an ended process, runs onLost instead. */
  private void deliver(int sentIncarnation, Runnable handler, Runnable onLost) {
    if (down || incarnation != sentIncarnation) {
      onLost.run();
    } else if (frozen) {
      delayedMessages.add(() -> deliver(sentIncarnation, handler, onLost));
    } else {
      handler.run();
    }
  }

  void probe(Runnable healthy, Runnable failed) {
    deliver(incarnation, healthy, failed);
  }

  /** Answers a dispatch grant, with an empty result for a fence below the highest one seen. */
  void grant(
      long fence,
      long untilMillis,
      Consumer<Optional<FenceChecker.GrantResponse>> answer,
      Runnable failed) {
    deliver(
        incarnation,
        () -> {
          boolean accepted = fenceChecker.grant(fence, untilMillis);
          answer.accept(accepted ? Optional.of(fenceChecker.response()) : Optional.empty());
        },
        failed);
  }

  void request(TargetSend send, Consumer<TargetReply> reply) {
    if (down) {
      reply.accept(new TargetReply.NotSent());
    } else {
      deliver(
          incarnation, () -> execute(send, reply), () -> reply.accept(new TargetReply.Broken()));
    }
  }

  private void execute(TargetSend send, Consumer<TargetReply> reply) {
    if (random.nextDouble() < shedRate) {
      reply.accept(new TargetReply.RefusedShedding(random.nextInt(200)));
      return;
    }
    if (!fenceChecker.begin(send.fence(), checksFences())) {
      checker.event(name() + " refuses " + send.requestId());
      reply.accept(new TargetReply.RefusedFence());
      return;
    }
    checker.executionStarted(this, send, send.identity());
    int startedIncarnation = incarnation;
    long millis = random.nextDouble() < slowRate ? 1_500 : 25;
    clock.after(1 + random.nextLong(millis * MILLI), () -> end(startedIncarnation, send, reply));
  }

  private void end(int startedIncarnation, TargetSend send, Consumer<TargetReply> reply) {
    deliver(
        startedIncarnation,
        () -> {
          fenceChecker.end(send.fence());
          checker.executionEnded(this, send);
          reply.accept(new TargetReply.Completed(200));
        },
        () -> reply.accept(new TargetReply.Broken()));
  }
}
