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
  private static final Pattern EVENT_NAME =
      Pattern.compile("LogEvent\\.of\\(\\s*\"([a-z._]+[a-z])\"");
  private static final List<String> OUTCOME_EVENTS =
      List.of("request.answered", "request.refused", "request.failed", "request.client_left");

  /** Guards against events that docs/OPERATIONS.md does not document. */
  @Test
  void everyEventIsDocumented() throws IOException {
    Set<String> events = new TreeSet<>(OUTCOME_EVENTS);
    try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
      files.filter(f -> f.toString().endsWith(".java")).forEach(f -> collectEvents(f, events));
    }
    String page = Files.readString(Path.of("docs/OPERATIONS.md"));
    assertThat(events).hasSizeGreaterThan(20);
    assertThat(events).filteredOn(e -> !page.contains("`" + e + "`")).isEmpty();
  }

  private static void collectEvents(Path file, Set<String> events) {
    try {
      Matcher matcher = EVENT_NAME.matcher(Files.readString(file));
      while (matcher.find()) {
        events.add(matcher.group(1));
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
