package io.coltsfootwheel.settings;

import java.util.ArrayList;
import java.util.List;

/** Collects the faults of one file so that all are reported at once. */
final class FaultLog {
  private final String file;
  private final List<SettingFault> faults = new ArrayList<>();

  FaultLog(String file) {
    this.file = file;
  }

  void add(String setting, String fault, String remedy) {
    faults.add(new SettingFault(file, setting, fault, remedy));
  }

  /** Reports a fault unless the condition holds. */
  void check(boolean holds, String setting, String fault, String remedy) {
    if (!holds) {
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
