package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.edge.CallerRequest;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that are missing from the metrics or counted for the wrong service. */
class RequestRecorderTest {
  private static final long DEADLINE_MILLIS = 1_000;

  private final AtomicLong nanos = new AtomicLong();
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final RequestRecorder recorder = new RequestRecorder(meters, nanos::get, Map.of());

  @ParameterizedTest
  @CsvSource({"1000, answered", "1001, late"})
  void answersAreCountedByServiceWithTheirDuration(long elapsedMillis, String result) {
    nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(elapsedMillis));
    recorder.recordAnswered(request("ledger"), TargetId.of("t1"));
    recorder.recordAnswered(request("ledger"), TargetId.of("t2"));
    recorder.recordAnswered(request("books"), TargetId.of("t3"));
    assertThat(count("ledger", result)).isEqualTo(2);
    assertThat(count("books", result)).isEqualTo(1);
    assertThat(
            meters
                .get("coltsfootwheel.request.duration")
                .tag("service", "ledger")
                .timer()
                .totalTime(TimeUnit.MILLISECONDS))
        .isEqualTo(2.0 * elapsedMillis);
  }

  @Test
  void refusedAndLostRequestsAreCountedByResult() {
    recorder.recordRefused(request("ledger"), ErrorKind.NO_OWNER);
    recorder.recordLost(ServiceName.of("ledger"));
    assertThat(count("ledger", ErrorKind.NO_OWNER.code())).isEqualTo(1);
    assertThat(count("ledger", "lost")).isEqualTo(1);
  }

  private double count(String service, String result) {
    return meters
        .get("coltsfootwheel.requests")
        .tags("service", service, "result", result)
        .counter()
        .count();
  }

  private static CallerRequest request(String service) {
    return new CallerRequest(
        1,
        ServiceName.of(service),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        true,
        DEADLINE_MILLIS,
        0,
        "GET",
        "/",
        List.of(),
        new byte[0]);
  }
}
