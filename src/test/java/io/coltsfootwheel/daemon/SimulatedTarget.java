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

/** Target process that freezes, reads what waited when it thaws, sheds and restarts. */
final class SimulatedTarget {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;

  private final SimulationClock clock;
  private final SplittableRandom random;
  private final RunChecker checker;
  private final TargetSpec first;
  private final double rate;
  private final List<Runnable> waiting = new ArrayList<>();
  private long clockOffsetNanos;
  private FenceChecker gate;
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
      double rate) {
    this.clock = clock;
    this.random = random;
    this.checker = checker;
    this.first = spec;
    this.rate = rate;
    this.gate = new FenceChecker(this::localNanos);
  }

  String name() {
    return first.id().value();
  }

  /** Name of the target as an end of links. */
  InstanceId end() {
    return InstanceId.of(name());
  }

  boolean checksFences() {
    return first.checksFences();
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

  /** Sets the shares of requests that are refused and that take long. */
  void burden(double shed, double slow) {
    shedRate = shed;
    slowRate = slow;
  }

  TargetSpec spec() {
    return new TargetSpec(
        first.id(),
        first.service(),
        first.address(),
        first.zone(),
        first.slots(),
        first.connections(),
        first.checksFences(),
        first.keepsIdentities(),
        "inc-" + incarnation);
  }

  private long localNanos() {
    return clockOffsetNanos + (long) (clock.now() * rate);
  }

  void freeze() {
    frozen = true;
    checker.event(name() + " freezes");
  }

  void thaw() {
    if (frozen) {
      frozen = false;
      checker.event(name() + " thaws with " + waiting.size() + " waiting");
      List<Runnable> read = List.copyOf(waiting);
      waiting.clear();
      read.forEach(Runnable::run);
    }
  }

  /** Ends the process; the caller starts the next incarnation. */
  void stop() {
    down = true;
    frozen = false;
    checker.event(name() + " ends");
    checker.processEnded(this);
    incarnation++;
    List<Runnable> lost = List.copyOf(waiting);
    waiting.clear();
    lost.forEach(Runnable::run);
  }

  /** Starts a new process; its machine may be another one with another clock. */
  void start() {
    down = false;
    clockOffsetNanos = random.nextLong(100_000 * MILLI);
    gate = new FenceChecker(this::localNanos);
    checker.event(name() + " starts as " + spec().incarnation());
  }

  /** Handles a message now or when the target thaws. */
  private void read(int sentTo, Runnable handle, Runnable lost) {
    if (down || incarnation != sentTo) {
      lost.run();
    } else if (frozen) {
      waiting.add(() -> read(sentTo, handle, lost));
    } else {
      handle.run();
    }
  }

  void probe(Runnable healthy, Runnable failed) {
    read(incarnation, healthy, failed);
  }

  /** Answers a grant; empty for a fence below the highest. */
  void grant(
      long fence,
      long untilMillis,
      Consumer<Optional<FenceChecker.GrantResponse>> answer,
      Runnable failed) {
    read(
        incarnation,
        () -> {
          boolean accepted = gate.grant(fence, untilMillis);
          answer.accept(accepted ? Optional.of(gate.response()) : Optional.empty());
        },
        failed);
  }

  void request(TargetSend send, Consumer<TargetReply> reply) {
    if (down) {
      reply.accept(new TargetReply.NotSent());
    } else {
      read(incarnation, () -> execute(send, reply), () -> reply.accept(new TargetReply.Broken()));
    }
  }

  private void execute(TargetSend send, Consumer<TargetReply> reply) {
    if (random.nextDouble() < shedRate) {
      reply.accept(new TargetReply.RefusedShedding(random.nextInt(200)));
      return;
    }
    if (!gate.begin(send.fence(), checksFences())) {
      checker.event(name() + " refuses " + send.requestId());
      reply.accept(new TargetReply.RefusedFence());
      return;
    }
    checker.started(this, send, send.identity());
    int startedIn = incarnation;
    long millis = random.nextDouble() < slowRate ? 1_500 : 25;
    clock.after(1 + random.nextLong(millis * MILLI), () -> end(startedIn, send, reply));
  }

  private void end(int startedIn, TargetSend send, Consumer<TargetReply> reply) {
    read(
        startedIn,
        () -> {
          gate.end(send.fence());
          checker.ended(this, send);
          reply.accept(new TargetReply.Completed(200));
        },
        () -> reply.accept(new TargetReply.Broken()));
  }
}
