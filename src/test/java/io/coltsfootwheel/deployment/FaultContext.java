package io.coltsfootwheel.deployment;

import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What a fault works on.
 *
 * @param deployment machines
 * @param random decides on machines and times
 * @param groupLock held by a fault of several machines
 * @param killedAfterGrace number of processes that were killed because their stop took too long
 */
record FaultContext(
    Deployment deployment, Random random, Semaphore groupLock, AtomicInteger killedAfterGrace) {
  void countKilledAfterGrace() {
    killedAfterGrace.incrementAndGet();
  }
}
