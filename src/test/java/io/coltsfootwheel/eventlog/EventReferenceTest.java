package io.coltsfootwheel.eventlog;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class EventReferenceTest {
  private static final Pattern EVENT = Pattern.compile("LogEvent\\.of\\(\\s*\"([a-z._]+[a-z])\"");
  private static final List<String> OUTCOMES =
      List.of("request.answered", "request.refused", "request.failed", "request.client_left");

  /** Guards against events that the operators' page does not explain. */
  @Test
  void everyEventIsInTheReference() throws IOException {
    Set<String> events = new TreeSet<>(OUTCOMES);
    try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
      files.filter(f -> f.toString().endsWith(".java")).forEach(f -> collect(f, events));
    }
    String page = Files.readString(Path.of("docs/OPERATIONS.md"));
    assertThat(events).hasSizeGreaterThan(20);
    assertThat(events).filteredOn(e -> !page.contains("`" + e + "`")).isEmpty();
  }

  private static void collect(Path file, Set<String> events) {
    try {
      Matcher matcher = EVENT.matcher(Files.readString(file));
      while (matcher.find()) {
        events.add(matcher.group(1));
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
