package io.coltsfootwheel.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** The project's deploy file. */
final class DeployFile {
  private static final String JAR = "target/coltsfootwheel.jar";
  private static final String ARCHIVE_FLAG = "-XX:SharedArchiveFile=";

  /**
   * Role of a machine class.
   *
   * @param name name of the role
   * @param command program and arguments
   */
  record Role(String name, List<String> command) {
    /** Returns the same role, run from a class path instead of the built file and its archive. */
    Role fromClasses(String classPath) {
      return new Role(
          name,
          command.stream()
              .filter(word -> !word.startsWith(ARCHIVE_FLAG))
              .map(word -> word.equals(JAR) ? classPath : word)
              .toList());
    }
  }

  private final JsonNode roles;

  private DeployFile(JsonNode roles) {
    this.roles = roles;
  }

  /** Reads {@code deploy/system.toml} of a repository. */
  static DeployFile read(Path repository) {
    Path file = repository.resolve("deploy/system.toml");
    try {
      return new DeployFile(new TomlMapper().readTree(Files.readString(file)).path("roles"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns whether the build of the deploy file has run in a repository. */
  static boolean isBuilt(Path repository) {
    return Files.exists(repository.resolve(JAR));
  }

  /** Returns the role that runs on a class of machines. */
  Role roleOn(String machineClass) {
    return roles.properties().stream()
        .filter(role -> role.getValue().path("on").asText().equals(machineClass))
        .map(DeployFile::toRole)
        .findFirst()
        .orElseThrow();
  }

  private static Role toRole(Map.Entry<String, JsonNode> entry) {
    return new Role(
        entry.getKey(), Arrays.asList(entry.getValue().path("run").asText().split(" ")));
  }
}
