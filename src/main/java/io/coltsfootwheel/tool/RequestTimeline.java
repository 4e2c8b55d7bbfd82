package io.coltsfootwheel.tool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Events of one request from the logs of any number of processes, in the order of time.
 *
 * <p>Besides the events of the request itself, the timeline has the related events shortly before
 * and after its end: those of its key, its targets, the instance that handled it, the routing
 * configuration and the leader of the control group.
 *
 * <p>Usage: {@code RequestTimeline.of(id, lines).render()}.
 */
final class RequestTimeline {
  /** How long before the end of the request an event may explain that end. */
  private static final Duration CONTEXT_BEFORE_END = Duration.ofSeconds(10);

  /**
   * How long after the end of the request events are included, to show how long its cause lasted.
   */
  private static final Duration CONTEXT_AFTER_END = Duration.ofMillis(1_500);

  private static final Pattern RANGE = Pattern.compile("(\\d+)-(\\d+)");

  private final String requestId;
  private final List<EventLine> requestEvents;
  private final List<EventLine> relatedEvents;
  private final long unparsedLines;

  private RequestTimeline(
      String requestId,
      List<EventLine> requestEvents,
      List<EventLine> relatedEvents,
      long unparsedLines) {
    this.requestId = requestId;
    this.requestEvents = requestEvents;
    this.relatedEvents = relatedEvents;
    this.unparsedLines = unparsedLines;
  }

  /**
   * Collects the events of a request.
   *
   * @param requestId request id that the caller sent
   * @param lines lines of the logs, in any order
   * @return the timeline, empty if no line is an event of the request
   */
  static RequestTimeline of(String requestId, Stream<String> lines) {
    List<EventLine> events = new ArrayList<>();
    long[] unparsedLines = new long[1];
    lines.forEach(
        line -> EventLine.parse(line).ifPresentOrElse(events::add, () -> unparsedLines[0]++));
    events.sort(Comparator.comparing(EventLine::time));
    List<EventLine> requestEvents =
        events.stream().filter(event -> event.isOfRequest(requestId)).toList();
    List<EventLine> relatedEvents =
        requestEvents.isEmpty()
            ? List.of()
            : events.stream()
                .filter(event -> isRelated(event, requestEvents.get(requestEvents.size() - 1)))
                .toList();
    return new RequestTimeline(requestId, requestEvents, relatedEvents, unparsedLines[0]);
  }

  boolean isEmpty() {
    return requestEvents.isEmpty();
  }

  /** Returns the number of lines that are not events. */
  long unparsedLines() {
    return unparsedLines;
  }

  /** Returns the cause found from the last event of the request, or empty without events. */
  Optional<RequestCause> cause() {
    return isEmpty() ? Optional.empty() : Optional.of(RequestCause.of(lastEvent()));
  }

  /** Returns the events in the order of time, followed by the cause in one sentence. */
  String render() {
    StringBuilder text = new StringBuilder("request " + requestId + "\n");
    Stream.concat(requestEvents.stream(), relatedEvents.stream())
        .sorted(Comparator.comparing(EventLine::time))
        .forEach(event -> text.append(format(event)).append('\n'));
    return text.append("cause: ")
        .append(RequestCause.of(lastEvent()).sentence(lastEvent()))
        .toString();
  }

  private EventLine lastEvent() {
    return requestEvents.get(requestEvents.size() - 1);
  }

  private static String format(EventLine event) {
    StringBuilder text =
        new StringBuilder("%s %s %s".formatted(event.time(), event.instance(), event.event()));
    event
        .fields()
        .fields()
        .forEachRemaining(
            field -> {
              boolean isInPrefix = List.of("time", "event", "instance").contains(field.getKey());
              if (!isInPrefix && !field.getValue().asText().isEmpty()) {
                text.append(' ')
                    .append(field.getKey())
                    .append('=')
                    .append(field.getValue().asText());
              }
            });
    return text.toString();
  }

  private static boolean isRelated(EventLine event, EventLine lastEvent) {
    boolean isNear =
        event.time().isAfter(lastEvent.time().minus(CONTEXT_BEFORE_END))
            && event.time().isBefore(lastEvent.time().plus(CONTEXT_AFTER_END));
    return isNear
        && switch (event.event()) {
          case "range.moving", "range.assigned" -> isOfKey(event, lastEvent);
          case "target.registered", "target.removed" ->
              lastEvent.text("targets").contains(event.text("target"));
          case "role.changed" -> event.text("role").startsWith("LEADER");
          case "configuration.changed" -> true;
          case "leader.found",
              "configuration.applied",
              "process.started",
              "process.stopping",
              "link.down",
              "log.dropped" ->
              event.instance().equals(lastEvent.instance());
          default -> false;
        };
  }

  private static boolean isOfKey(EventLine event, EventLine lastEvent) {
    Matcher range = RANGE.matcher(event.text("range"));
    int key = lastEvent.fields().path("key").asInt(-1);
    return event.text("service").equals(lastEvent.text("service"))
        && range.find()
        && Integer.parseInt(range.group(1)) <= key
        && key <= Integer.parseInt(range.group(2));
  }
}
