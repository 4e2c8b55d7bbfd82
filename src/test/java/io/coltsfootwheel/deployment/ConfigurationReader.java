package io.coltsfootwheel.deployment;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Reads the configuration at control processes. */
final class ConfigurationReader {
  private static final int MIN_PAUSE_MILLIS = 50;
  private static final int MAX_PAUSE_MILLIS = 250;
  private static final long TIMEOUT_MILLIS = 2_000;

  private final List<Machine> core;
  private final ControlCaller control;
  private final Recorder recorder;
  private final RunClock clock;

  ConfigurationReader(
      List<Machine> core, ControlCaller control, Recorder recorder, RunClock clock) {
    this.core = core;
    this.control = control;
    this.recorder = recorder;
    this.clock = clock;
  }

  /** Reads at random control processes until interrupted. */
  void run(Random random) {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        TimeUnit.MILLISECONDS.sleep(
            MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS));
        recorder.add(read(core.get(random.nextInt(core.size())), false));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads at each control process, repeatedly for the contact window, until it answers. */
  void readAtEnd() throws InterruptedException {
    for (Machine machine : core) {
      long endMillis = clock.nowMillis() + Bounds.CONTACT_WINDOW_MILLIS;
      ConfigurationRead read = read(machine, true);
      while (!read.isAnswered() && clock.nowMillis() < endMillis) {
        TimeUnit.MILLISECONDS.sleep(MIN_PAUSE_MILLIS);
        read = read(machine, true);
      }
      recorder.add(read);
    }
  }

  private ConfigurationRead read(Machine machine, boolean isFinal) throws InterruptedException {
    long sentMillis = clock.nowMillis();
    ControlCaller.Answer answer =
        control.call(machine, "?call=config.get", "", "{}", TIMEOUT_MILLIS);
    if (!answer.isSuccess()) {
      return new ConfigurationRead(
          machine.name(), answer.status(), 0, Map.of(), sentMillis, isFinal);
    }
    Configurations.Contents contents = Configurations.read(answer.body());
    return new ConfigurationRead(
        machine.name(),
        answer.status(),
        contents.version(),
        contents.routes(),
        sentMillis,
        isFinal);
  }
}
