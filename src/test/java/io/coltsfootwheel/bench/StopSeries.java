package io.coltsfootwheel.bench;

import io.coltsfootwheel.bench.FleetSettings.DaemonAddresses;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Seeded series of planned stops: sends SIGTERM to daemons, also to two at the same time and twice
 * to one, sends SIGHUP to others, and starts each daemon again after it has exited.
 *
 * <p>At most one control member and one other daemon are down at the same time, which a group of
 * three tolerates.
 */
final class StopSeries {
  private static final int MAX_GAP_MILLIS = 1_000;
  private static final int SETTLE_MILLIS = 1_500;
  private static final int EXIT_TIMEOUT_SECONDS = 75;
  private static final int READY_TIMEOUT_SECONDS = 30;
  private static final int SECOND_SIGTERM_ONE_IN = 4;
  private static final int SIGHUP_ONE_IN = 4;
  private static final int HANGUP_WATCH_MILLIS = 1_500;

  private final Fleet fleet;
  private final Random random;
  private final Set<String> down = new HashSet<>();
  private final List<String> violations = Collections.synchronizedList(new ArrayList<>());
  private final List<Thread> restarts = new ArrayList<>();
  private int stops;

  StopSeries(Fleet fleet, Random random) {
    this.fleet = fleet;
    this.random = random;
  }

  /** Stops daemons for a number of seconds, then waits until all of them are ready again. */
  void run(int seconds) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (System.nanoTime() - endNanos < 0) {
      TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_GAP_MILLIS));
      DaemonAddresses daemon =
          fleet.settings().daemons().get(random.nextInt(fleet.spec().daemons()));
      if (random.nextInt(SIGHUP_ONE_IN) == 0) {
        hangUp(daemon.id());
      } else if (takeDown(daemon.id())) {
        stop(daemon, random.nextInt(SECOND_SIGTERM_ONE_IN) == 0);
      }
    }
    for (Thread restart : restarts) {
      restart.join();
    }
  }

  int stops() {
    return stops;
  }

  List<String> violations() {
    return violations;
  }

  /** Sends SIGHUP, which a daemon must survive. */
  private void hangUp(String id) throws Exception {
    if (takeDown(id)) {
      fleet.processes().signal(id, "HUP");
      if (fleet.processes().exits(id, HANGUP_WATCH_MILLIS)) {
        violations.add(id + " ended at SIGHUP");
        fleet.startDaemon(id);
        awaitReady(fleet.daemon(id));
      }
      release(id);
    }
  }

  private void stop(DaemonAddresses daemon, boolean twice) throws Exception {
    stops++;
    System.out.printf(
        "%d SIGTERM %s%s%n", System.currentTimeMillis(), daemon.id(), twice ? " x2" : "");
    fleet.processes().signal(daemon.id(), "TERM");
    if (twice) {
      fleet.processes().signal(daemon.id(), "TERM");
    }
    Thread restart = new Thread(() -> restart(daemon), "restart-" + daemon.id());
    restarts.add(restart);
    restart.start();
  }

  private void restart(DaemonAddresses daemon) {
    try {
      int status = fleet.processes().awaitExit(daemon.id(), EXIT_TIMEOUT_SECONDS);
      System.out.printf("%d exit of %s%n", System.currentTimeMillis(), daemon.id());
      if (status != 0) {
        violations.add(daemon.id() + " exited with status " + status + " after SIGTERM");
      }
      fleet.startDaemon(daemon.id());
      awaitReady(daemon);
    } catch (Exception e) {
      violations.add(daemon.id() + " was not restarted: " + e);
    }
    release(daemon.id());
  }

  /** Waits also for a moment in which a control member catches up with the log. */
  private void awaitReady(DaemonAddresses daemon) throws Exception {
    fleet.await(
        daemon.id() + " ready",
        READY_TIMEOUT_SECONDS,
        () -> fleet.get(daemon, "/ready").path("ready").asBoolean());
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
  }

  private synchronized boolean takeDown(String id) {
    boolean sameKindDown = down.stream().anyMatch(other -> isMember(other) == isMember(id));
    return !sameKindDown && down.add(id);
  }

  private synchronized void release(String id) {
    down.remove(id);
  }

  private boolean isMember(String id) {
    List<String> ids = fleet.settings().daemons().stream().map(DaemonAddresses::id).toList();
    return ids.indexOf(id) < fleet.spec().controlMembers();
  }
}
