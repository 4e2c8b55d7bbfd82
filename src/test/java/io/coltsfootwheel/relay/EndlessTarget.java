package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Target on the loopback interface that sends bytes until its peer closes the connection. */
final class EndlessTarget implements AutoCloseable {
  /** Stands for the ID of the request in the bytes that are sent once. */
  static final String REQUEST_ID = "{request-id}";

  private static final int WRITE_BYTES = 32 * 1024;
  private static final Pattern ID_HEADER = Pattern.compile("(?i)\r\nid: *(\\S+)\r\n");

  private final TargetId id;
  private final ServiceName service;
  private final LoopbackServer server;
  private final String beginning;
  private final byte[] block;
  private final long pauseMillis;
  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicLong sentBytes = new AtomicLong();
  private final CountDownLatch closedByPeer = new CountDownLatch(1);

  /**
   * Starts a target.
   *
   * @param beginning bytes that are sent once, after each request; {@link #REQUEST_ID} is replaced
   * @param repeated bytes that are sent again and again afterwards
   * @param pauseMillis time between two repetitions; 0 to send without a pause
   */
  EndlessTarget(
      String id, ServiceName service, String beginning, String repeated, long pauseMillis) {
    this.id = TargetId.of(id);
    this.service = service;
    this.beginning = beginning;
    this.block = block(repeated, pauseMillis == 0);
    this.pauseMillis = pauseMillis;
    this.server = new LoopbackServer("endless-target", this::serve);
  }

  private static byte[] block(String repeated, boolean large) {
    int count = large ? Math.max(1, WRITE_BYTES / repeated.length()) : 1;
    return repeated.repeat(count).getBytes(StandardCharsets.ISO_8859_1);
  }

  OwnershipView.Target view() {
    return new OwnershipView.Target(
        id, service, server.address(), AvailabilityZone.of("z"), 20, TargetPhase.READY, 1);
  }

  /** Returns the number of requests received. */
  int requests() {
    return requests.get();
  }

  /** Returns the number of bytes that the sockets accepted, including those in their buffers. */
  long sentBytes() {
    return sentBytes.get();
  }

  /** Waits until the peer has closed a connection; returns false after the time limit. */
  boolean awaitClose(long seconds) throws InterruptedException {
    return closedByPeer.await(seconds, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    server.close();
  }

  private void serve(Socket socket) {
    try (socket) {
      Matcher requestId = ID_HEADER.matcher(readHead(socket.getInputStream()));
      requests.incrementAndGet();
      OutputStream out = socket.getOutputStream();
      String named = beginning.replace(REQUEST_ID, requestId.find() ? requestId.group(1) : "");
      out.write(named.getBytes(StandardCharsets.ISO_8859_1));
      while (!server.isClosed()) {
        out.write(block);
        sentBytes.addAndGet(block.length);
        TimeUnit.MILLISECONDS.sleep(pauseMillis);
      }
    } catch (IOException e) {
      closedByPeer.countDown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("connection closed before a request");
      }
      head.write(next);
    }
    return head.toString(StandardCharsets.ISO_8859_1);
  }
}
