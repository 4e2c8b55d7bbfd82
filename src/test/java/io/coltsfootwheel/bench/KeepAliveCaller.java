package io.coltsfootwheel.bench;

import io.coltsfootwheel.bench.CallRecord.Result;
import io.coltsfootwheel.bench.FleetSettings.DaemonAddresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Caller that sends non-idempotent requests one after the other and keeps each connection until its
 * daemon closes it. It never resends a request.
 */
final class KeepAliveCaller implements Runnable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int DEADLINE_MILLIS = 5_000;
  private static final int READ_TIMEOUT_MILLIS = DEADLINE_MILLIS + 3_000;
  private static final int RECONNECT_DELAY_MILLIS = 20;
  private static final int KEYS = 500;
  private static final int SHORT_PAUSE_MILLIS = 40;
  private static final int LONG_PAUSE_MILLIS = 1_800;
  private static final int LONG_PAUSE_PERCENT = 10;
  private static final int UNKEYED_PERCENT = 25;
  private static final int NEW_CONNECTION_PERCENT = 5;
  private static final int PERCENT = 100;

  private final String name;
  private final FleetSpec spec;
  private final List<DaemonAddresses> daemons;
  private final Random random;
  private final Consumer<CallRecord> records;
  private volatile boolean stopped;
  private int requests;
  private Socket socket;
  private HttpResponseReader reader;
  private DaemonAddresses daemon;

  KeepAliveCaller(String name, Fleet fleet, Random random, Consumer<CallRecord> records) {
    this.name = name;
    this.spec = fleet.spec();
    this.daemons = fleet.settings().daemons();
    this.random = random;
    this.records = records;
  }

  /** Ends the caller after its current request. */
  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    try {
      while (!stopped) {
        if (connect()) {
          sendRequest();
          pause();
        }
      }
      disconnect();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean connect() throws InterruptedException {
    if (socket != null && isPercent(NEW_CONNECTION_PERCENT)) {
      disconnect();
    }
    if (socket != null) {
      return true;
    }
    daemon = daemons.get(random.nextInt(daemons.size()));
    Socket opened = new Socket();
    try {
      opened.setTcpNoDelay(true);
      opened.connect(
          new InetSocketAddress(daemon.http().host(), daemon.http().port()),
          CONNECT_TIMEOUT_MILLIS);
      opened.setSoTimeout(READ_TIMEOUT_MILLIS);
      reader = new HttpResponseReader(opened.getInputStream());
      socket = opened;
      return true;
    } catch (IOException e) {
      TimeUnit.MILLISECONDS.sleep(RECONNECT_DELAY_MILLIS);
      return false;
    }
  }

  private void sendRequest() {
    String id = name + "-" + requests++;
    try {
      socket.getOutputStream().write(request(id).getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      // The request was not sent whole, so its outcome is not recorded.
      disconnect();
      return;
    }
    long sentNanos = System.nanoTime();
    long sentEpochMillis = System.currentTimeMillis();
    Result result;
    String detail;
    try {
      HttpResponseReader.Response response = reader.read();
      result = classify(response);
      detail = result == Result.ANSWERED ? "" : response.status() + " " + response.body();
      if (response.closesConnection()) {
        disconnect();
      }
    } catch (SocketTimeoutException e) {
      result = Result.SILENT;
      detail = e.toString();
      disconnect();
    } catch (IOException e) {
      result = Result.CUT;
      detail = e.toString();
      disconnect();
    }
    long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
    records.accept(new CallRecord(id, daemon.id(), result, detail, sentEpochMillis, waitedMillis));
  }

  private String request(String id) {
    boolean keyed = !isPercent(UNKEYED_PERCENT);
    String service = keyed ? spec.keyedService().name() : spec.unkeyedService().name();
    String key = keyed ? "Coltsfootwheel-Key: key-" + random.nextInt(KEYS) + "\r\n" : "";
    return "POST /s/%s/stop HTTP/1.1\r\nHost: h\r\nLoad-Request: %s\r\n%s"
            .formatted(service, id, key)
        + "Coltsfootwheel-Deadline-Millis: %d\r\nContent-Length: %d\r\n\r\n%s"
            .formatted(DEADLINE_MILLIS, id.length(), id);
  }

  private static Result classify(HttpResponseReader.Response response) {
    String outcome = response.headers().get("coltsfootwheel-outcome");
    if (outcome == null) {
      return Result.ANSWERED;
    }
    return outcome.equals("not-run") ? Result.NOT_RUN : Result.UNKNOWN;
  }

  private void pause() throws InterruptedException {
    int millis = isPercent(LONG_PAUSE_PERCENT) ? LONG_PAUSE_MILLIS : SHORT_PAUSE_MILLIS;
    TimeUnit.MILLISECONDS.sleep(random.nextInt(millis));
  }

  private boolean isPercent(int percent) {
    return random.nextInt(PERCENT) < percent;
  }

  private void disconnect() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      socket = null;
    }
  }
}
