package io.coltsfootwheel.deployment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Process of the system as the kernel shows it. */
final class CrowdProcess {
  private static final int KILOBYTE = 1_024;
  private static final int LOCAL_ADDRESS_COLUMN = 1;
  private static final int QUEUES_COLUMN = 4;
  private static final int HEXADECIMAL = 16;

  private final Process process;
  private final String ip;
  private final Path logFile;

  CrowdProcess(Process process, String ip, Path logFile) {
    this.process = process;
    this.ip = ip;
    this.logFile = logFile;
  }

  String ip() {
    return ip;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the memory in use: resident pages and bytes that have arrived and were not read. */
  long memoryBytes() {
    return residentBytes() + unreadBytes();
  }

  private long residentBytes() {
    return lines(folder().resolve("status"))
        .filter(line -> line.startsWith("VmRSS:"))
        .mapToLong(line -> KILOBYTE * Long.parseLong(line.replaceAll("[^0-9]", "")))
        .sum();
  }

  private long unreadBytes() {
    String address = kernelAddress() + ":";
    return Stream.of("tcp", "tcp6")
        .flatMap(table -> lines(Path.of("/proc/net").resolve(table)))
        .map(line -> line.trim().split("\\s+"))
        .filter(columns -> columns[LOCAL_ADDRESS_COLUMN].contains(address))
        .mapToLong(columns -> Long.parseLong(columns[QUEUES_COLUMN].split(":")[1], HEXADECIMAL))
        .sum();
  }

  /** Returns the address as the kernel prints it, with its last byte first. */
  private String kernelAddress() {
    String text = "";
    for (String part : ip.split("\\.")) {
      text = "%02X".formatted(Integer.parseInt(part)) + text;
    }
    return text;
  }

  /** Returns the number of open sockets and pipes. */
  long sockets() {
    return descriptors().stream()
        .filter(name -> name.startsWith("socket:") || name.startsWith("pipe:"))
        .count();
  }

  /** Returns the number of open descriptors. */
  int descriptorCount() {
    return descriptors().size();
  }

  private List<String> descriptors() {
    try (Stream<Path> descriptors = Files.list(folder().resolve("fd"))) {
      return descriptors.map(CrowdProcess::referent).toList();
    } catch (IOException e) {
      return List.of();
    }
  }

  private static String referent(Path descriptor) {
    try {
      return Files.readSymbolicLink(descriptor).toString();
    } catch (IOException e) {
      return "closed";
    }
  }

  /** Returns the lines of the log that say that the JVM had no memory left. */
  List<String> memoryErrors() {
    return lines(logFile).filter(line -> line.contains("OutOfMemoryError")).toList();
  }

  private Path folder() {
    return Path.of("/proc", Long.toString(process.pid()));
  }

  private static Stream<String> lines(Path file) {
    try {
      return Files.readAllLines(file, StandardCharsets.ISO_8859_1).stream();
    } catch (IOException e) {
      if (file.startsWith("/proc")) {
        return Stream.empty();
      }
      throw new UncheckedIOException(e);
    }
  }
}
