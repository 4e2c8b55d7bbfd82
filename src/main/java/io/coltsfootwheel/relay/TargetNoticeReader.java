package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.model.RetryAfterHeader;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetNotices;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.OptionalLong;

/** Reads from the answer to a request what its target says of itself. */
final class TargetNoticeReader {
  private static final String LEAVING = "1";
  private static final int MAX_LOGGED_CHARS = 40;

  private final ProtocolHeaderNames headerNames;
  private final EventLog log;
  private final Counter leavingTargets;
  private final Counter pauses;

  TargetNoticeReader(ProtocolHeaderNames headerNames, EventLog log, MeterRegistry meters) {
    this.headerNames = headerNames;
    this.log = log;
    this.leavingTargets = meters.counter("coltsfootwheel.target.notices", "kind", "leaving");
    this.pauses = meters.counter("coltsfootwheel.target.notices", "kind", "pause");
  }

  /**
   * Records the notices of an answer.
   *
   * @param nowNanos time at which the answer arrived
   * @param target the target that answered
   * @param notices what its incarnation has said before
   * @param response the answer, which names the request
   * @param check classification of the answer
   */
  void read(
      long nowNanos,
      TargetId target,
      TargetNotices notices,
      FullHttpResponse response,
      ResponseCheck check) {
    if (check == ResponseCheck.VALID || check == ResponseCheck.NOT_EXECUTED) {
      readLeaving(nowNanos, target, notices, response);
    }
    boolean isUnavailable = response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
    if (check == ResponseCheck.NOT_EXECUTED && isUnavailable) {
      readPause(nowNanos, target, notices, response);
    }
  }

  private void readLeaving(
      long nowNanos, TargetId target, TargetNotices notices, FullHttpResponse response) {
    List<String> values = response.headers().getAll(headerNames.leaving());
    if (values.isEmpty()) {
      return;
    }
    if (!values.stream().allMatch(v -> v.trim().equals(LEAVING))) {
      logInvalid(target, headerNames.leaving(), values.toString());
    } else if (notices.recordLeaving(nowNanos)) {
      leavingTargets.increment();
      log.write(LogEvent.of("target.leaving").with("target", target));
    }
  }

  private void readPause(
      long nowNanos, TargetId target, TargetNotices notices, FullHttpResponse response) {
    String value = response.headers().get(HttpHeaderNames.RETRY_AFTER);
    if (value == null) {
      return;
    }
    OptionalLong millis = RetryAfterHeader.millis(value);
    if (millis.isEmpty()) {
      logInvalid(target, HttpHeaderNames.RETRY_AFTER.toString(), value);
    } else if (notices.recordPause(nowNanos, millis.getAsLong())) {
      pauses.increment();
      log.write(
          LogEvent.of("target.paused").with("target", target).with("pause_ms", millis.getAsLong()));
    }
  }

  private void logInvalid(TargetId target, String header, String value) {
    log.write(
        LogEvent.of("target.header.invalid")
            .with("target", target)
            .with("header", header)
            .with("value", value.substring(0, Math.min(MAX_LOGGED_CHARS, value.length()))));
  }
}
