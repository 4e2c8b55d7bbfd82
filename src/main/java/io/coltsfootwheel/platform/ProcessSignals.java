package io.coltsfootwheel.platform;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/**
 * Signals of the platform to this process. Until they are installed, each of them ends the Java
 * machine, a changed settings file (SIGHUP) included.
 */
final class ProcessSignals {
  private final CountDownLatch stopRequested = new CountDownLatch(1);
  private long stopRequestedNanos;
  private volatile Runnable settingsListener = () -> {};

  ProcessSignals() {}

  /** Replaces the Java machine's handling of SIGTERM and SIGHUP. */
  static ProcessSignals install() {
    ProcessSignals signals = new ProcessSignals();
    Signal.handle(new Signal("TERM"), signal -> signals.requestStop());
    Signal.handle(new Signal("HUP"), signal -> signals.settingsListener.run());
    return signals;
  }

  /** Sets what is called when the settings file has changed. */
  void onSettingsChanged(Runnable listener) {
    settingsListener = listener;
  }

  /** Requests the stop of the process; a repeated request has no effect. */
  synchronized void requestStop() {
    if (stopRequested.getCount() > 0) {
      stopRequestedNanos = System.nanoTime();
      stopRequested.countDown();
    }
  }

  /** Returns the time since the first request to stop, which counts against the grace period. */
  synchronized long millisSinceStopRequest() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopRequestedNanos);
  }

  boolean isStopRequested() {
    return stopRequested.getCount() == 0;
  }

  void awaitStop() throws InterruptedException {
    stopRequested.await();
  }
}
