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

/** Reloads the settings file; when it has no valid seed, the last valid seeds stay in use. */
final class SettingsWatcher {
  /** The file may change without a signal to the process, so it is also polled. */
  private static final long POLL_INTERVAL_MILLIS = 2_000;

  private final Path file;
  private final EventLog log;
  private final Consumer<List<InstanceId>> onSeedsChanged;
  private List<InstanceId> seeds;

  SettingsWatcher(
      Path file, List<InstanceId> seeds, EventLog log, Consumer<List<InstanceId>> onSeedsChanged) {
    this.file = file;
    this.seeds = seeds;
    this.log = log;
    this.onSeedsChanged = onSeedsChanged;
  }

  void start(ScheduledExecutorService executor) {
    executor.scheduleWithFixedDelay(
        this::reload, POLL_INTERVAL_MILLIS, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Reads the file and reports changed seeds; may be called from any thread. */
  synchronized void reload() {
    try {
      apply(PlatformSettings.read(file));
    } catch (ColtsfootwheelException e) {
      log.write(LogEvent.of("settings.unreadable").with("error", e.getMessage()));
    } catch (RuntimeException | Error e) {
      // An exception that escapes would end the periodic reload.
      log.write(LogEvent.of("settings.reload.failed").with("error", e));
    }
  }

  private void apply(PlatformSettings settings) {
    List<InstanceId> newSeeds = settings.seeds();
    List<String> invalidSeeds = settings.invalidSeeds();
    if (!invalidSeeds.isEmpty()) {
      log.write(LogEvent.of("settings.seeds.invalid").with("seeds", invalidSeeds));
    }
    if (newSeeds.isEmpty()) {
      log.write(LogEvent.of("settings.seeds.missing").with("kept", seeds));
    } else if (!newSeeds.equals(seeds)) {
      onSeedsChanged.accept(newSeeds);
      seeds = newSeeds;
      log.write(LogEvent.of("settings.reloaded").with("seeds", newSeeds));
    }
  }
}
