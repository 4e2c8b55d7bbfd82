package io.coltsfootwheel.settings;

import java.nio.file.Path;
import java.util.List;

/** Reads settings files. */
public final class SettingsFile {
  private SettingsFile() {}

  /**
   * Reads and checks a settings file.
   *
   * @param file the TOML file
   * @return the settings
   * @throws SettingsException with all faults when the file is not valid
   */
  public static DaemonSettings read(Path file) {
    throw new SettingsException(
        List.of(new SettingFault(file.toString(), "(file)", "not read yet", "update")));
  }
}
