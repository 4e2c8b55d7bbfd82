package io.coltsfootwheel.eventlog;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.LongAdder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventLogTest {
  /** Guards against lines that a JSON parser rejects. */
  @Test
  void lineIsOneJsonObject() throws Exception {
    List<String> lines = new CopyOnWriteArrayList<>();
    EventLog log = new EventLog(lines::add, Map.of("instance", "e1"));
    log.write(LogEvent.of("x").with("text", "a \"quoted\"\nline").with("n", 5).with("b", true));
    log.close();
    JsonNode line = new ObjectMapper().readTree(lines.get(0));
    assertThat(line.path("event").asText()).isEqualTo("x");
    assertThat(line.path("instance").asText()).isEqualTo("e1");
    assertThat(line.path("text").asText()).isEqualTo("a \"quoted\"\nline");
    assertThat(line.path("n").asInt()).isEqualTo(5);
  }

  /** Guards against a log that is silent for good after an event that cannot be written. */
  @Test
  void eventsAfterOneThatCannotBeWrittenAreWritten() throws Exception {
    List<String> lines = new CopyOnWriteArrayList<>();
    EventLog log = new EventLog(lines::add, Map.of());
    Object unwritable =
        new Object() {
          @Override
          public String toString() {
            throw new IllegalStateException("no text");
          }
        };
    log.write(LogEvent.of("first").with("field", unwritable));
    log.write(LogEvent.of("second"));
    log.close();
    assertThat(lines).hasSize(2);
    assertThat(lines.get(0)).contains("log.failed").contains("\"first\"");
    assertThat(lines.get(1)).contains("\"second\"");
  }

  /** Guards against requests that block because the reader of standard output has stopped. */
  @Test
  void fullQueueDropsAndCountsWithoutBlocking() throws Exception {
    List<String> lines = new CopyOnWriteArrayList<>();
    CountDownLatch outputUnblocked = new CountDownLatch(1);
    EventLog log =
        new EventLog(
            line -> {
              try {
                outputUnblocked.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              lines.add(line);
            },
            Map.of());
    for (int i = 0; i < 10_000; i++) {
      log.write(LogEvent.of("x").with("i", i));
    }
    assertThat(log.dropped()).isGreaterThan(5_000);
    outputUnblocked.countDown();
    long deadlineNanos = System.nanoTime() + 5_000_000_000L;
    while (lines.size() < 10_000 - log.dropped() && System.nanoTime() - deadlineNanos < 0) {
      Thread.onSpinWait();
    }
    log.close();
    assertThat(lines).anyMatch(line -> line.contains("\"event\":\"log.dropped\""));
  }

  /**
   * Guards against a process without memory because the reader of standard output has stopped and
   * clients choose the size of what is logged, such as the identifier of a request.
   */
  @ParameterizedTest
  @ValueSource(ints = {1_000, 16_000, 256_000})
  void memoryOfQueuedEventsIsBounded(int characters) throws Exception {
    CountDownLatch outputUnblocked = new CountDownLatch(1);
    LongAdder written = new LongAdder();
    EventLog log =
        new EventLog(
            line -> {
              awaitQuietly(outputUnblocked);
              written.add(line.length());
            },
            Map.of());
    for (int i = 0; i < 4_000; i++) {
      log.write(LogEvent.of("x").with("request", "r".repeat(characters)));
    }
    outputUnblocked.countDown();
    log.close();
    assertThat(written.sum()).isLessThan(2 * EventLog.MAX_QUEUED_BYTES);
  }

  /** Guards against a line that drops what a long text begins with. */
  @Test
  void longTextIsShortened() throws Exception {
    List<String> lines = new CopyOnWriteArrayList<>();
    EventLog log = new EventLog(lines::add, Map.of());
    log.write(LogEvent.of("x").with("text", "b".repeat(10_000)));
    log.close();
    assertThat(lines.get(0)).contains("bbb... (10000 characters)").hasSizeLessThan(5_000);
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
