package io.coltsfootwheel.platform;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;

/**
 * Build step that runs a control and an entry process in one JVM on loopback addresses. The JVM
 * writes the loaded classes to a class-data sharing archive, which halves the start-up time on a
 * small machine.
 */
final class ClassDataArchiveRun {
  private static final String CONTROL_HOST = "127.0.0.1";
  private static final String ENTRY_HOST = "127.0.0.2";
  private static final String SERVICE = "archive";
  private static final String HOST = "archive.example";
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration RETRY_DELAY = Duration.ofMillis(200);
  private static final int MAX_ATTEMPTS = 50;
  private static final int WARM_UP_REQUESTS = 20;

  private final Path folder;

  /** Free ports are chosen at each run, so that concurrent builds do not conflict. */
  private final int linkPort = freePort();

  private final int controlPort = freePort();
  private final int clientPort = freePort();
  private final int readinessPort = freePort();
  private final HttpClient client = HttpClient.create();

  ClassDataArchiveRun(Path folder) {
    this.folder = folder;
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_SETTINGS, "no free TCP port", e);
    }
  }

  /** Writes the settings of the two processes and returns their files: control, then entry. */
  Path[] writeSettings() {
    try {
      Files.createDirectories(folder);
      Path control = folder.resolve("control.toml");
      Path entry = folder.resolve("entry.toml");
      Files.writeString(control, settingsToml(CONTROL_HOST));
      Files.writeString(entry, settingsToml(ENTRY_HOST));
      return new Path[] {control, entry};
    } catch (IOException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_SETTINGS, "folder " + folder + " cannot be written", e);
    }
  }

  /** Configures the system, registers a target by its reports and sends requests to it. */
  void generateTraffic() {
    DisposableServer target = startTarget();
    try {
      postUntilAccepted(PlatformNames.PUT_CALL, "", configurationJson());
      for (int sequence = 1; sequence <= MAX_ATTEMPTS && !isRequestServed(); sequence++) {
        postUntilAccepted(
            PlatformNames.REPORT_CALL, "&of=t-1", reportJson(target.port(), sequence));
        Mono.delay(RETRY_DELAY).block();
      }
      for (int i = 0; i < WARM_UP_REQUESTS; i++) {
        isRequestServed();
      }
    } finally {
      target.disposeNow();
    }
  }

  private static DisposableServer startTarget() {
    return HttpServer.create()
        .host(CONTROL_HOST)
        .port(0)
        .handle(
            (request, response) ->
                response
                    .header(
                        PlatformNames.HEADERS.requestId(),
                        request.requestHeaders().get(PlatformNames.HEADERS.requestId()))
                    .header(PlatformNames.HEADERS.signature(), "1")
                    .sendString(Mono.just("answer")))
        .bindNow();
  }

  private boolean isRequestServed() {
    Integer status =
        client
            .headers(this::requestHeaders)
            .get()
            .uri("http://" + ENTRY_HOST + ":" + clientPort + "/a/1")
            .response()
            .map(r -> r.status().code())
            .onErrorReturn(0)
            .block(CALL_TIMEOUT);
    return status != null && status == 200;
  }

  private void requestHeaders(HttpHeaders headers) {
    headers.set("Host", HOST);
    headers.set(PlatformNames.HEADERS.requestId(), "r-1");
    headers.set(PlatformNames.HEADERS.deadlineMillis(), 1_000);
    headers.set(PlatformNames.HEADERS.key(), 7);
  }

  private void postUntilAccepted(String call, String parameters, String body) {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      Integer status =
          client
              .post()
              .uri(
                  "http://"
                      + CONTROL_HOST
                      + ":"
                      + controlPort
                      + PlatformNames.CALL_PATH
                      + "?call="
                      + call
                      + parameters)
              .send(
                  (request, out) ->
                      out.sendByteArray(Mono.just(body.getBytes(StandardCharsets.UTF_8))))
              .response()
              .map(r -> r.status().code())
              .onErrorReturn(0)
              .block(CALL_TIMEOUT);
      if (status != null && status == 200) {
        return;
      }
      Mono.delay(RETRY_DELAY).block();
    }
    throw ColtsfootwheelException.of(
        ErrorKind.NO_QUORUM,
        "call " + call + " was not accepted during the run that writes the class-data archive");
  }

  private String settingsToml(String host) {
    return """
        nodeName = "%1$s"
        ip = "%1$s"
        zone = "z"
        internalPortRange = [%2$d, %3$d]
        seeds = ["%4$s:%5$d"]
        bootstrap = true
        dataDir = "%6$s"
        heartbeatIntervalMs = 300
        bounds = ["graceS=3"]
        [listenAddrs]
        front = "%1$s:%7$d"
        ready = "%1$s:%8$d"
        control = "%1$s:%5$d"
        [faultTolerance]
        machines = 0
        """
        .formatted(
            host,
            linkPort,
            linkPort + 1,
            CONTROL_HOST,
            controlPort,
            folder.resolve("data"),
            clientPort,
            readinessPort);
  }

  private static String configurationJson() {
    return """
        {"version":"r1","resources":[
        {"resourceType":"routes","metadata":{"name":"a"},"spec":{"hostname":"%s",
        "pathPrefix":"/a/","kind":"safe","timeoutMs":1000,"targetLatencyMs":400,"priority":1,
        "service":"%s","maxAttempts":2}},
        {"resourceType":"services","metadata":{"name":"%s"},"spec":{"healthPath":"/healthz",
        "maxConnections":10,"protocol":"h1","tls":false,"sharded":true}},
        {"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,
        "maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}
        """
        .formatted(HOST, SERVICE, SERVICE);
  }

  private static String reportJson(int port, int sequence) {
    return """
        {"born":1,"address":"%s:%d","info":{"service":"%s","version":"v1","zone":"z",
        "capacity":2},"status":{"phase":"ready","sequence":%d,"warmupLeftMs":0},
        "holds":[],"released":[]}
        """
        .formatted(CONTROL_HOST, port, SERVICE, sequence);
  }
}
