package io.coltsfootwheel.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads settings files. */
public final class SettingsFile {
  private SettingsFile() {}

  /**
   * Reads and checks a settings file; relative paths in it start at its folder.
   *
   * <p>Usage: {@code DaemonSettings settings = SettingsFile.read(Path.of("daemon.toml"));}
   *
   * @param file the TOML file
   * @return the settings
   * @throws SettingsException with all faults when the file is not valid
   */
  public static DaemonSettings read(Path file) {
    FaultLog faults = new FaultLog(file.toString());
    JsonNode root = parse(file, faults);
    return new SettingsReader(file.toAbsolutePath().getParent(), root, faults).read();
  }

  private static JsonNode parse(Path file, FaultLog faults) {
    try {
      return new TomlMapper().readTree(Files.readString(file));
    } catch (JsonProcessingException e) {
      faults.add(
          "line " + e.getLocation().getLineNr(), e.getOriginalMessage(), "correct the TOML syntax");
    } catch (IOException e) {
      faults.add("(file)", "cannot be read: " + e, "check the path and its permissions");
    }
    faults.throwIfAny();
    throw new IllegalStateException("a file that cannot be parsed has a fault");
  }
}
