package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.model.TargetId;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.HashSet;
import java.util.OptionalInt;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Reads the load that a target reports of itself: requests running, requests waiting, slots, and
 * optionally the time of work (100 is usual). The last two are only checked: the slots are known
 * from registration, and the time of work changes faster than entries learn of it.
 */
final class TargetLoadReader {
  private static final Pattern SEPARATOR = Pattern.compile("\\s*[,;/]\\s*|\\s+");
  private static final Pattern NUMBER = Pattern.compile("\\d{1,6}");
  private static final int MIN_FIELDS = 3;
  private static final int MAX_FIELDS = 4;
  private static final int COUNTED_FIELDS = 2;

  /** Fields beyond the limit are not split, so that a long header costs little. */
  private static final int MAX_SPLIT = MAX_FIELDS + 1;

  private static final int MAX_LOGGED_CHARS = 40;

  private final ProtocolHeaderNames headerNames;
  private final EventLog log;
  private final Counter invalidFields;

  /** Targets whose last header was invalid; only a change is logged. */
  private final Set<TargetId> invalidTargets = new HashSet<>();

  TargetLoadReader(ProtocolHeaderNames headerNames, EventLog log, MeterRegistry meters) {
    this.headerNames = headerNames;
    this.log = log;
    this.invalidFields = meters.counter("coltsfootwheel.target.load.invalid");
  }

  /** Records the load that a response contains, if any; invalid fields of it are ignored. */
  void read(TargetStats target, FullHttpResponse response) {
    String value = response.headers().get(headerNames.load());
    if (value == null) {
      return;
    }
    String[] fields = SEPARATOR.split(value.trim(), MAX_SPLIT);
    int invalid = Math.max(0, MIN_FIELDS - fields.length) + Math.max(0, fields.length - MAX_FIELDS);
    int requests = 0;
    for (int i = 0; i < Math.min(MAX_FIELDS, fields.length); i++) {
      OptionalInt number = number(fields[i]);
      invalid += number.isEmpty() ? 1 : 0;
      requests += i < COUNTED_FIELDS ? number.orElse(0) : 0;
    }
    target.recordSelfReportedLoad(requests);
    recordInvalid(target.spec().id(), invalid, value);
  }

  private static OptionalInt number(String field) {
    return NUMBER.matcher(field).matches()
        ? OptionalInt.of(Integer.parseInt(field))
        : OptionalInt.empty();
  }

  private void recordInvalid(TargetId target, int invalid, String value) {
    if (invalid == 0) {
      invalidTargets.remove(target);
      return;
    }
    invalidFields.increment(invalid);
    if (invalidTargets.add(target)) {
      log.write(
          LogEvent.of("target.header.invalid")
              .with("target", target)
              .with("header", headerNames.load())
              .with("value", value.substring(0, Math.min(MAX_LOGGED_CHARS, value.length()))));
    }
  }
}
