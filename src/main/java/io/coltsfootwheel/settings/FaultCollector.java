package io.coltsfootwheel.settings;

import java.util.ArrayList;
import java.util.List;

/** Collects the faults of one settings file, so that they are all reported at once. */
final class FaultCollector {
  private final String file;
  private final List<SettingFault> faults = new ArrayList<>();

  FaultCollector(String file) {
    this.file = file;
  }

  void add(String setting, String fault, String remedy) {
    faults.add(new SettingFault(file, setting, fault, remedy));
  }

  /** Adds a fault unless the condition holds. */
  void check(boolean condition, String setting, String fault, String remedy) {
    if (!condition) {
      add(setting, fault, remedy);
    }
  }

  boolean hasFaultOf(String setting) {
    return faults.stream().anyMatch(fault -> fault.setting().equals(setting));
  }

  void throwIfAny() {
    if (!faults.isEmpty()) {
      throw new SettingsException(faults);
    }
  }
}
