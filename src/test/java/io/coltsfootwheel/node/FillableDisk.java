package io.coltsfootwheel.node;

import io.coltsfootwheel.journal.FaultyFileAccess;
import io.coltsfootwheel.journal.Journal;
import java.nio.file.Path;
import java.util.Optional;

/** Disk of one process that has no room for further bytes while it is full. */
final class FillableDisk {
  private volatile boolean full;

  void fill() {
    full = true;
  }

  void free() {
    full = false;
  }

  Journal open(Path folder) {
    return Journal.open(folder, FaultyFileAccess.of(this::failure));
  }

  private Optional<String> failure(String operation) {
    return full && operation.equals("write")
        ? Optional.of("No space left on device")
        : Optional.empty();
  }
}
