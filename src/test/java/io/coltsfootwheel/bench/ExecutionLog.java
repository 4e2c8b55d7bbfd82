package io.coltsfootwheel.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * File of executions, one JSON object a line.
 *
 * <p>Each line is one write, so that a killed process leaves whole lines only.
 */
final class ExecutionLog {
  /** Fields that the tool's {@code match} command reads. */
  record Entry(
      long epochMicros,
      String target,
      String requestId,
      String loadRequest,
      String identity,
      long fence,
      int hashSlot) {}

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final OutputStream file;

  ExecutionLog(Path path) {
    try {
      file = Files.newOutputStream(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  synchronized void add(Entry entry) {
    try {
      file.write((line(entry) + "\n").getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String line(Entry entry) throws JsonProcessingException {
    return MAPPER.writeValueAsString(entry);
  }
}
