package io.coltsfootwheel.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a settings file is invalid; its message has one line for each fault found. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient List<SettingFault> faults;

  SettingsException(List<SettingFault> faults) {
    super(faults.stream().map(SettingFault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  /**
   * Returns the faults in the order in which they were found.
   *
   * @return at least one fault
   */
  public List<SettingFault> faults() {
    return faults;
  }
}
