package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.loadcontrol.AdmissionShare;
import io.coltsfootwheel.loadcontrol.RefusalCounts;
import io.coltsfootwheel.loadcontrol.TargetConcurrencyLimit;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * Simulates one target in simulated time to which several entries send at random as far as the
 * leader's concurrency limit allows. Entries know the requests in flight and the limit as of the
 * last 100 ms. Requests beyond the limit are dropped.
 */
final class FullTargetSimulation {
  static final int REPORT_MILLIS = 100;
  private static final int STEP_MILLIS = 5;

  /** Time after which an entry gives up a request that a full target never answers. */
  private static final int OVERDUE_MILLIS = 1_000;

  /** Standard deviation of the logarithm of the work of a request. */
  private static final double WORK_SIGMA = 0.47;

  /** What a target does with a request beyond its queue. */
  enum FullBehaviour {
    REFUSE,
    RESET,
    NO_RESPONSE
  }

  /**
   * Properties of the simulated target.
   *
   * @param slots requests that it executes at the same time
   * @param queue requests that it queues
   * @param workMillis mean work of a request
   * @param slowdown factor on the time of work by the number of requests running
   * @param reportedLoad what it says of itself by its requests running and waiting
   */
  record Target(
      int slots,
      int queue,
      double workMillis,
      FullBehaviour fullBehaviour,
      ToDoubleFunction<Integer> slowdown,
      ToDoubleFunction<Integer> reportedLoad) {}

  private static final class Request {
    private final int entry;
    private final double sentMillis;
    private double leftMillis;

    private Request(int entry, double sentMillis, double leftMillis) {
      this.entry = entry;
      this.sentMillis = sentMillis;
      this.leftMillis = leftMillis;
    }
  }

  private final Random random;
  private final Target target;
  private final int entries;
  private final TargetLoad load = new TargetLoad();
  private final List<Request> accepted = new ArrayList<>();
  private final List<Request> unanswered = new ArrayList<>();
  private final int[] inFlight;
  private final int[] completed;
  private final long[] responseMillis;
  private final int[] signals;
  private final AdmissionShare[] shares;
  private int[] reportedInFlight;
  private TargetLoadEstimate estimate;
  private long nowMillis = 1_000;

  /** Counts since the last call of {@link #run}. */
  int sent;

  int answered;
  int lost;
  private long answeredMillis;

  /** Lowest limit in force since the last call of {@link #run}. */
  int lowestLimit;

  FullTargetSimulation(long seed, Target target, int entries) {
    this.random = new Random(seed);
    this.target = target;
    this.entries = entries;
    this.inFlight = new int[entries];
    this.completed = new int[entries];
    this.responseMillis = new long[entries];
    this.signals = new int[entries];
    this.shares =
        Stream.generate(AdmissionShare::new).limit(entries).toArray(AdmissionShare[]::new);
    this.reportedInFlight = new int[entries];
    load.updateUsualTime(target.workMillis() / 1_000);
    estimate = load.estimate(nanos(), target.slots());
  }

  int limit() {
    return estimate.concurrencyLimit();
  }

  double meanResponseMillis() {
    return (double) answeredMillis / answered;
  }

  /** Returns the throughput of the last run relative to the capacity of a target in good order. */
  double utilisation(int millis) {
    return answered * target.workMillis() / target.slots() / millis;
  }

  /** Runs for a time, with a rate of arrivals and a factor on the time of all work. */
  void run(int millis, double requestsPerSecond, double slowness) {
    sent = 0;
    answered = 0;
    lost = 0;
    answeredMillis = 0;
    lowestLimit = Integer.MAX_VALUE;
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
      work(slowness);
      giveUp();
      if (random.nextDouble() < requestsPerSecond * STEP_MILLIS / 1_000) {
        arrive(random.nextInt(entries));
      }
      if (nowMillis % REPORT_MILLIS == 0) {
        report();
      }
    }
  }

  private long nanos() {
    return nowMillis * 1_000_000;
  }

  private void arrive(int entry) {
    int others = Math.max(0, estimate.inFlight() - reportedInFlight[entry]);
    shares[entry].recordRequest(nanos());
    int room = limit() - others - inFlight[entry];
    double completedPerSecond = target.slots() * 1_000.0 / estimate.millisPerRequest();
    int initial = TargetConcurrencyLimit.initial(target.slots());
    boolean isLimited = limit() < initial || others + inFlight[entry] >= initial;
    boolean isAdmitted =
        room > 0 && (!isLimited || shares[entry].tryAdmit(room, completedPerSecond, entries - 1));
    if (!isAdmitted) {
      return;
    }
    sent++;
    inFlight[entry]++;
    double factor = Math.exp(random.nextGaussian() * WORK_SIGMA - WORK_SIGMA * WORK_SIGMA / 2);
    Request request = new Request(entry, nowMillis, target.workMillis() * factor);
    if (accepted.size() < target.slots() + target.queue()) {
      accepted.add(request);
    } else if (target.fullBehaviour() == FullBehaviour.NO_RESPONSE) {
      unanswered.add(request);
    } else {
      lose(request);
    }
  }

  private void work(double slowness) {
    int running = Math.min(target.slots(), accepted.size());
    double done = STEP_MILLIS / slowness / target.slowdown().applyAsDouble(running);
    accepted.subList(0, running).forEach(r -> r.leftMillis -= done);
    for (Request r : accepted) {
      if (r.leftMillis <= 0) {
        inFlight[r.entry]--;
        completed[r.entry]++;
        responseMillis[r.entry] += (long) (nowMillis - r.sentMillis);
        answered++;
        answeredMillis += (long) (nowMillis - r.sentMillis);
      }
    }
    accepted.removeIf(r -> r.leftMillis <= 0);
  }

  private void giveUp() {
    unanswered.stream().filter(r -> nowMillis - r.sentMillis > OVERDUE_MILLIS).forEach(this::lose);
    unanswered.removeIf(r -> nowMillis - r.sentMillis > OVERDUE_MILLIS);
  }

  private void lose(Request request) {
    inFlight[request.entry]--;
    signals[request.entry]++;
    lost++;
  }

  private void report() {
    int reported = (int) target.reportedLoad().applyAsDouble(accepted.size());
    for (int e = 0; e < entries; e++) {
      load.add(
          nanos(),
          InstanceId.of("e" + e),
          target.slots(),
          new LoadReport.TargetObservation(
              TargetId.of("t"),
              inFlight[e],
              completed[e],
              responseMillis[e],
              target.fullBehaviour() == FullBehaviour.REFUSE ? 0 : signals[e],
              completed[e] > 0 ? reported : 0,
              target.fullBehaviour() == FullBehaviour.REFUSE
                  ? new RefusalCounts(signals[e], 0, completed[e])
                  : RefusalCounts.NONE));
      completed[e] = 0;
      responseMillis[e] = 0;
      signals[e] = 0;
    }
    reportedInFlight = inFlight.clone();
    estimate = load.estimate(nanos(), target.slots());
    lowestLimit = Math.min(lowestLimit, limit());
  }
}
