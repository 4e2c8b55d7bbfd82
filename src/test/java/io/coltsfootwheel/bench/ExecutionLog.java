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
 * Append-only file with one JSON object per line for each execution.
 *
 * <p>Each line is written with one call, so that a killed process leaves no partial line.
 */
final class ExecutionLog {
  /** Execution, with the fields that the {@code match} command of the tool reads. */
  record Entry(
      long epochMicros,
      String target,
      String requestId,
      String loadRequest,
      String identity,
      long fence,
      int hashSlot) {}

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final OutputStream output;

  ExecutionLog(Path path) {
    try {
      output = Files.newOutputStream(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  synchronized void append(Entry entry) {
    try {
      output.write((toJson(entry) + "\n").getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String toJson(Entry entry) throws JsonProcessingException {
    return MAPPER.writeValueAsString(entry);
  }
}
