package io.coltsfootwheel.eventlog;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/**
 * Writes events as JSON lines on a thread of its own.
 *
 * <p>The queue is bounded; an event that finds it full is dropped and counted, so that a reader of
 * standard output that stops reading never delays a request. The next line that is written states
 * how many were dropped.
 *
 * <p>Usage: {@code log.write(LogEvent.of("process.started").with("role", "entry"))}.
 */
public final class EventLog implements AutoCloseable {
  private static final int QUEUE_EVENTS = 4_096;
  private static final long CLOSE_MILLIS = 300;
  private static final JsonFactory JSON = new JsonFactory();

  private final Consumer<String> output;
  private final Map<String, Object> commonFields;
  private final ArrayBlockingQueue<Entry> queue = new ArrayBlockingQueue<>(QUEUE_EVENTS);
  private final LongAdder dropped = new LongAdder();
  private final Thread writer = new Thread(this::run, "event-log");
  private long reportedDropped;

  private record Entry(long unixMillis, LogEvent event) {}

  /**
   * Starts a log.
   *
   * @param output writes one line
   * @param commonFields fields of every line, such as the name of the process
   */
  public EventLog(Consumer<String> output, Map<String, Object> commonFields) {
    this.output = output;
    this.commonFields = Map.copyOf(commonFields);
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Queues an event without waiting.
   *
   * @param event the event
   */
  public void write(LogEvent event) {
    if (!queue.offer(new Entry(System.currentTimeMillis(), event))) {
      dropped.increment();
    }
  }

  /**
   * Returns the events that were dropped.
   *
   * @return the number since the start
   */
  public long dropped() {
    return dropped.sum();
  }

  /** Writes what is queued, as far as the output takes it within a short time, and stops. */
  @Override
  public void close() throws InterruptedException {
    writer.interrupt();
    writer.join(CLOSE_MILLIS);
  }

  private void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        write(queue.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Entry entry = queue.poll();
    while (entry != null) {
      write(entry);
      entry = queue.poll();
    }
  }

  private void write(Entry entry) {
    long total = dropped.sum();
    if (total > reportedDropped) {
      LogEvent notice =
          LogEvent.of("log.dropped").with("lines", total - reportedDropped).with("total", total);
      reportedDropped = total;
      output.accept(format(new Entry(entry.unixMillis(), notice)));
    }
    output.accept(format(entry));
  }

  private String format(Entry entry) {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      json.writeStringField("time", Instant.ofEpochMilli(entry.unixMillis()).toString());
      json.writeStringField("event", entry.event().name());
      for (Map.Entry<String, Object> field : commonFields.entrySet()) {
        writeField(json, field);
      }
      for (Map.Entry<String, Object> field : entry.event().fields().entrySet()) {
        writeField(json, field);
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString();
  }

  private static void writeField(JsonGenerator json, Map.Entry<String, Object> field)
      throws IOException {
    json.writeFieldName(field.getKey());
    Object value = field.getValue();
    if (value instanceof Integer || value instanceof Long) {
      json.writeNumber(((Number) value).longValue());
    } else if (value instanceof Double number) {
      json.writeNumber(number);
    } else if (value instanceof Boolean flag) {
      json.writeBoolean(flag);
    } else {
      json.writeString(String.valueOf(value));
    }
  }
}
