package io.coltsfootwheel.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.EnumSet;
import java.util.Set;

/** Validates a file that holds a secret. */
final class SecretFile {
  private static final Set<PosixFilePermission> FORBIDDEN_PERMISSIONS =
      EnumSet.of(
          PosixFilePermission.GROUP_READ,
          PosixFilePermission.GROUP_WRITE,
          PosixFilePermission.OTHERS_READ,
          PosixFilePermission.OTHERS_WRITE);

  private SecretFile() {}

  /** Adds a fault if the file is too short or if its group or others can read or write it. */
  static void check(Path file, String setting, int minimumBytes, FaultCollector faults) {
    try {
      boolean ownerOnly =
          Files.getPosixFilePermissions(file).stream().noneMatch(FORBIDDEN_PERMISSIONS::contains);
      faults.check(
          ownerOnly, setting, file + " can be accessed by others", "run 'chmod 600 " + file + "'");
      faults.check(
          Files.size(file) >= minimumBytes,
          setting,
          file + " is shorter than " + minimumBytes + " bytes",
          "write at least " + minimumBytes + " random bytes into it");
    } catch (IOException e) {
      faults.add(setting, file + " cannot be read", "create the file and run chmod 600 on it");
    }
  }
}
