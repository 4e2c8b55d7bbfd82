package io.coltsfootwheel.platform;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.InstanceId;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reads the settings file again when it may have changed; a file that cannot be read changes
 * nothing.
 */
final class SettingsWatch {
  /** The file may change without a signal, so it is read again from time to time. */
  private static final long INTERVAL_MILLIS = 2_000;

  private final Path file;
  private final EventLog log;
  private final Consumer<List<InstanceId>> onSeeds;
  private List<InstanceId> seeds;

  SettingsWatch(
      Path file, List<InstanceId> seeds, EventLog log, Consumer<List<InstanceId>> onSeeds) {
    this.file = file;
    this.seeds = seeds;
    this.log = log;
    this.onSeeds = onSeeds;
  }

  void start(ScheduledExecutorService executor) {
    executor.scheduleWithFixedDelay(
        this::reload, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Reads the file now; safe from any thread. */
  synchronized void reload() {
    try {
      List<InstanceId> present = PlatformSettings.read(file).seeds();
      if (!present.equals(seeds)) {
        seeds = present;
        log.write(LogEvent.of("settings.reloaded").with("seeds", present));
        onSeeds.accept(present);
      }
    } catch (ColtsfootwheelException e) {
      log.write(LogEvent.of("settings.unreadable").with("error", e.getMessage()));
    }
  }
}
