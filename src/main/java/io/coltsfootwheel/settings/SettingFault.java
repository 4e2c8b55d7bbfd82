package io.coltsfootwheel.settings;

/**
 * Fault found in a settings file.
 *
 * @param file path of the file, as given by the caller
 * @param setting full name of the setting; an element of an array of tables has its index in
 *     brackets
 * @param fault what is wrong
 * @param remedy how to correct it
 */
public record SettingFault(String file, String setting, String fault, String remedy) {
  /** Returns the fault as one line. */
  @Override
  public String toString() {
    return file + ": " + setting + ": " + fault + "; remedy: " + remedy;
  }
}
