package io.coltsfootwheel.journal;

import java.nio.file.Path;

/** Main class of a process that opens a journal and prints the number of its entries. */
final class JournalOpening {
  private JournalOpening() {}

  public static void main(String[] arguments) {
    try (Journal journal = Journal.open(Path.of(arguments[0]))) {
      System.out.println("entries " + journal.recovered().entries().size());
    }
  }
}
