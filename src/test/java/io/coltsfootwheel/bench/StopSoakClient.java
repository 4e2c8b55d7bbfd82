package io.coltsfootwheel.bench;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Client that uses each connection until the entry closes it, and then opens the next one. Some
 * requests are sent in two parts, and some are pipelined in pairs.
 */
final class StopSoakClient implements Runnable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int RESPONSE_TIMEOUT_MILLIS = 10_000;
  private static final int MAX_PAUSE_MILLIS = 60;

  /**
   * Outcome of one request.
   *
   * @param id ID of the request
   * @param entry address of the entry
   * @param status status of the response, or 0 if the connection ended without a complete one
   * @param idMatches whether the body is the one that the target gave to this request
   * @param sentNanos time at which the last byte of the request was sent
   * @param endedNanos time of the outcome
   */
  record Outcome(
      String id,
      InetSocketAddress entry,
      int status,
      boolean idMatches,
      long sentNanos,
      long endedNanos) {
    /** Returns the time from the last byte of the request to the outcome. */
    long waitedMillis() {
      return TimeUnit.NANOSECONDS.toMillis(endedNanos - sentNanos);
    }
  }

  private final String name;
  private final Random random;
  private final Supplier<InetSocketAddress> entries;
  private final Consumer<Outcome> outcomes;
  private final Supplier<Boolean> running;
  private int sentCount;

  /** One response as read from the socket. */
  private record Response(int status, boolean closes, String body) {}

  StopSoakClient(
      String name,
      Random random,
      Supplier<InetSocketAddress> entries,
      Consumer<Outcome> outcomes,
      Supplier<Boolean> running) {
    this.name = name;
    this.random = random;
    this.entries = entries;
    this.outcomes = outcomes;
    this.running = running;
  }

  @Override
  public void run() {
    while (running.get()) {
      InetSocketAddress entry = entries.get();
      try (Socket socket = new Socket()) {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
        socket.connect(entry, CONNECT_TIMEOUT_MILLIS);
        useConnection(socket, entry);
      } catch (IOException e) {
        // The entry is down or has closed its listener.
        pause(MAX_PAUSE_MILLIS);
      }
    }
  }

  private void useConnection(Socket socket, InetSocketAddress entry) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    boolean open = true;
    while (open && running.get()) {
      int pipelinedCount = random.nextInt(8) == 0 ? 2 : 1;
      String[] ids = new String[pipelinedCount];
      for (int i = 0; i < pipelinedCount; i++) {
        ids[i] = name + "-" + sentCount++;
      }
      open = send(socket, ids) && receive(in, entry, ids);
      pause(random.nextInt(MAX_PAUSE_MILLIS));
    }
  }

  /** Sends the requests and returns whether the last one was sent whole. */
  private boolean send(Socket socket, String[] ids) {
    try {
      StringBuilder text = new StringBuilder();
      for (String id : ids) {
        text.append(request(id));
      }
      byte[] bytes = text.toString().getBytes(StandardCharsets.US_ASCII);
      int firstPart = random.nextInt(4) == 0 ? bytes.length - 2 : bytes.length;
      socket.getOutputStream().write(bytes, 0, firstPart);
      if (firstPart < bytes.length) {
        pause(MAX_PAUSE_MILLIS);
        socket.getOutputStream().write(bytes, firstPart, bytes.length - firstPart);
      }
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private String request(String id) {
    return "POST /"
        + (random.nextBoolean() ? "safe" : "unsafe")
        + "/1 HTTP/1.1\r\nHost: soak.example\r\n"
        + StopSoakTarget.ID_HEADER
        + ": "
        + id
        + "\r\nX-Coltsfootwheel-Request-Deadline-Ms: 8000\r\nContent-Length: 4\r\n\r\nbody";
  }

  /** Reads the responses and returns whether the connection is still usable. */
  private boolean receive(InputStream in, InetSocketAddress entry, String[] ids) {
    long sentNanos = System.nanoTime();
    boolean open = true;
    for (String id : ids) {
      Response response = open ? read(in) : new Response(0, true, "");
      boolean idMatches = response.body().equals(id);
      outcomes.accept(
          new Outcome(id, entry, response.status(), idMatches, sentNanos, System.nanoTime()));
      open = !response.closes();
    }
    return open;
  }

  private static Response read(InputStream in) {
    try {
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int character = in.read();
        if (character < 0) {
          return new Response(0, true, "");
        }
        head.append((char) character);
      }
      String lower = head.toString().toLowerCase(Locale.ROOT);
      int length = Integer.parseInt(lower.replaceAll("(?s).*content-length: (\\d+).*", "$1"));
      byte[] body = in.readNBytes(length);
      int status = body.length < length ? 0 : Integer.parseInt(lower.substring(9, 12));
      String text = new String(body, StandardCharsets.US_ASCII);
      return new Response(status, lower.contains("connection: close"), text);
    } catch (IOException e) {
      return new Response(0, true, "");
    }
  }

  private static void pause(int millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
