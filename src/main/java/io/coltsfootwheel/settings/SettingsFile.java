package io.coltsfootwheel.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads and validates settings files. */
public final class SettingsFile {
  private SettingsFile() {}

  /**
   * Reads and validates a settings file; relative paths in it are resolved against its folder.
   *
   * <p>Usage: {@code DaemonSettings settings = SettingsFile.read(Path.of("daemon.toml"));}
   *
   * @param file the TOML file
   * @return the settings
   * @throws SettingsException with all faults if the file is invalid
   */
  public static DaemonSettings read(Path file) {
    FaultCollector faults = new FaultCollector(file.toString());
    JsonNode root = parse(file, faults);
    return new SettingsReader(file.toAbsolutePath().getParent(), root, faults).read();
  }

  private static JsonNode parse(Path file, FaultCollector faults) {
    try {
      return new TomlMapper().readTree(Files.readString(file));
    } catch (JsonProcessingException e) {
      faults.add(
          "line " + e.getLocation().getLineNr(), e.getOriginalMessage(), "correct the TOML syntax");
    } catch (IOException e) {
      faults.add("(file)", "cannot be read: " + e, "check the path and its permissions");
    }
    faults.throwIfAny();
    throw new IllegalStateException("parsing the file failed without a fault");
  }
}
