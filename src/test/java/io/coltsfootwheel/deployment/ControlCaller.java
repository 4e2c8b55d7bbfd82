package io.coltsfootwheel.deployment;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Random;

/** Calls control processes and follows their redirects. */
final class ControlCaller {
  private static final int MAX_REDIRECTS = 2;
  private static final int TEMPORARY_REDIRECT = 307;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /**
   * Answer to a call.
   *
   * @param status status, or 0 without a response
   * @param body body of the response
   */
  record Answer(int status, String body) {
    boolean isSuccess() {
      return status / 100 == 2;
    }
  }

  private final List<Machine> core;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();

  ControlCaller(List<Machine> core) {
    this.core = core;
  }

  /** Returns a random control process of the list that lags by the seed lag. */
  Machine pick(Random random) {
    List<Machine> listed =
        core.stream().filter(m -> !m.isOutLongerThan(Bounds.SEED_LAG_MILLIS)).toList();
    List<Machine> choice = listed.isEmpty() ? core : listed;
    return choice.get(random.nextInt(choice.size()));
  }

  /** Calls a control process. */
  Answer call(Machine control, String query, String ifMatch, String body, long timeoutMillis)
      throws InterruptedException {
    String base = "http://%s:%d/api/rpc".formatted(control.ip(), Site.CONTROL_PORT);
    return call(URI.create(base + query), ifMatch, body, timeoutMillis);
  }

  /** Calls an address. */
  Answer call(URI address, String ifMatch, String body, long timeoutMillis)
      throws InterruptedException {
    URI uri = address;
    try {
      for (int redirects = 0; ; redirects++) {
        HttpRequest request =
            HttpRequest.newBuilder(uri)
                .header("If-Match", ifMatch)
                .header("Content-Type", "application/json")
                .timeout(Duration.ofMillis(timeoutMillis))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != TEMPORARY_REDIRECT || redirects == MAX_REDIRECTS) {
          return new Answer(response.statusCode(), response.body());
        }
        uri = URI.create(response.headers().firstValue("Location").orElseThrow());
      }
    } catch (IOException e) {
      return new Answer(0, "");
    }
  }
}
