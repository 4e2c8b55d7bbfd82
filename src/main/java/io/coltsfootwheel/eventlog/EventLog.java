package io.coltsfootwheel.eventlog;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/**
 * Writes events as JSON lines on a dedicated thread.
 *
 * <p>The queue is bounded by the number of events and by their memory, because clients and other
 * processes choose the size of some fields. An event that does not fit is dropped and counted, so
 * that a reader of standard output that stops reading never delays a request. The number of dropped
 * events is logged before the next event.
 *
 * <p>Usage: {@code log.write(LogEvent.of("process.started").with("role", "entry"))}.
 */
public final class EventLog implements AutoCloseable {
  private static final int QUEUE_CAPACITY = 4_096;

  /** Memory of all queued events; a reader that has stopped must not use up the heap. */
  static final long MAX_QUEUED_BYTES = 8L * 1024 * 1024;

  private static final long CLOSE_TIMEOUT_MILLIS = 300;
  private static final JsonFactory JSON = new JsonFactory();

  private final Consumer<String> output;
  private final Map<String, Object> commonFields;
  private final ArrayBlockingQueue<Entry> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final AtomicLong queuedBytes = new AtomicLong();
  private final LongAdder dropped = new LongAdder();
  private final Thread writer = new Thread(this::run, "event-log");
  private long reportedDropCount;

  private record Entry(long unixMillis, QueuedEvent event) {}

  /**
   * Creates a log and starts its thread.
   *
   * @param output receives each line, without a line terminator
   * @param commonFields fields added to every line, such as the name of the process
   */
  public EventLog(Consumer<String> output, Map<String, Object> commonFields) {
    this.output = output;
    this.commonFields = Map.copyOf(commonFields);
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Queues an event without blocking, or drops it if the queue is full.
   *
   * @param event the event
   */
  public void write(LogEvent event) {
    QueuedEvent queued = QueuedEvent.of(event);
    boolean fits = queuedBytes.addAndGet(queued.bytes()) <= MAX_QUEUED_BYTES;
    if (!fits || !queue.offer(new Entry(System.currentTimeMillis(), queued))) {
      queuedBytes.addAndGet(-queued.bytes());
      dropped.increment();
    }
  }

  /**
   * Returns the number of dropped events.
   *
   * @return the number since this log was created
   */
  public long dropped() {
    return dropped.sum();
  }

  /**
   * Stops the log after writing queued events, and waits for that up to {@link
   * #CLOSE_TIMEOUT_MILLIS}.
   */
  @Override
  public void close() throws InterruptedException {
    writer.interrupt();
    writer.join(CLOSE_TIMEOUT_MILLIS);
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

  /** Writes an event; one that cannot be written is no reason to write no others. */
  private void write(Entry entry) {
    queuedBytes.addAndGet(-entry.event().bytes());
    try {
      writeLines(entry);
    } catch (RuntimeException | Error e) {
      output.accept(format(entry.unixMillis(), QueuedEvent.failed(entry.event().name(), e)));
    }
  }

  private void writeLines(Entry entry) {
    long dropCount = dropped.sum();
    if (dropCount > reportedDropCount) {
      LogEvent dropNotice =
          LogEvent.of("log.dropped")
              .with("lines", dropCount - reportedDropCount)
              .with("total", dropCount);
      reportedDropCount = dropCount;
      output.accept(format(entry.unixMillis(), QueuedEvent.of(dropNotice)));
    }
    output.accept(format(entry.unixMillis(), entry.event()));
  }

  private String format(long unixMillis, QueuedEvent event) {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      json.writeStringField("time", Instant.ofEpochMilli(unixMillis).toString());
      json.writeStringField("event", event.name());
      for (Map.Entry<String, Object> field : commonFields.entrySet()) {
        writeField(json, field);
      }
      for (Map.Entry<String, Object> field : event.fields().entrySet()) {
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
