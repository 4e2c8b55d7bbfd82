package io.coltsfootwheel.settings;

/**
 * Fault found in a settings file.
 *
 * @param file path of the file as given
 * @param setting name of the setting, with the index of a table in brackets
 * @param fault what is wrong
 * @param remedy what to do about it
 */
public record SettingFault(String file, String setting, String fault, String remedy) {
  /** Returns the fault as one line. */
  @Override
  public String toString() {
    return file + ": " + setting + ": " + fault + "; remedy: " + remedy;
  }
}
