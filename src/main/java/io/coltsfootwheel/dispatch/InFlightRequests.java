package io.coltsfootwheel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/**
 * Requests that one dispatcher has sent to its target and that the target may still execute.
 *
 * <p>A request without a reply is in flight and occupies a slot of the target until its deadline
 * plus {@link #SLOT_GRACE_NANOS}. After that it is overdue: it no longer occupies the slot, but its
 * hash slot cannot be released until a late reply arrives or the target starts a new incarnation.
 */
final class InFlightRequests {
  /** Time after the deadline for which a request without reply still occupies its slot. */
  static final long SLOT_GRACE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** One request that was sent. */
  static final class Sent {
    final DispatchRequest request;
    final long sentNanos;

    /** True once the caller has received an answer or has cancelled the request. */
    boolean callerAnswered;

    /** True once the connection has broken, so that no reply can arrive. */
    boolean connectionBroken;

    private Sent(DispatchRequest request, long sentNanos) {
      this.request = request;
      this.sentNanos = sentNanos;
    }
  }

  private final TargetHashSlots hashSlots;
  private final Map<String, Sent> inFlight = new HashMap<>();
  private final Map<String, Sent> overdue = new HashMap<>();

  InFlightRequests(TargetHashSlots hashSlots) {
    this.hashSlots = hashSlots;
  }

  int inFlightCount() {
    return inFlight.size();
  }

  /** Tells whether anything that was sent may still be executed. */
  boolean hasUnresolved() {
    return !inFlight.isEmpty() || !overdue.isEmpty();
  }

  boolean contains(String requestId) {
    return inFlight.containsKey(requestId) || overdue.containsKey(requestId);
  }

  Optional<Sent> findInFlight(String requestId) {
    return Optional.ofNullable(inFlight.get(requestId));
  }

  Collection<Sent> inFlight() {
    return inFlight.values();
  }

  void sent(long nowNanos, DispatchRequest request) {
    inFlight.put(request.requestId(), new Sent(request, nowNanos));
    hashSlots.requestSent(request.hashSlot());
  }

  /** Removes a request whose reply shows that the target no longer executes it. */
  Optional<Sent> resolve(String requestId) {
    Sent sent = inFlight.remove(requestId);
    if (sent == null) {
      sent = overdue.remove(requestId);
    }
    if (sent != null) {
      hashSlots.requestResolved(sent.request.hashSlot());
    }
    return Optional.ofNullable(sent);
  }

  /** Moves requests whose grace time has passed from in flight to overdue, and returns them. */
  List<Sent> moveOverdue(long nowNanos) {
    List<Sent> expired = new ArrayList<>();
    for (Sent sent : inFlight.values()) {
      if (nowNanos - sent.request.deadlineNanos() >= SLOT_GRACE_NANOS) {
        expired.add(sent);
      }
    }
    for (Sent sent : expired) {
      inFlight.remove(sent.request.requestId());
      overdue.put(sent.request.requestId(), sent);
    }
    return expired;
  }

  /**
   * Removes and returns the requests that an ended incarnation of the target can no longer execute.
   *
   * @param sentBeforeNanos requests sent later are kept, because the new incarnation may have
   *     received them
   */
  List<Sent> resolveEndedIncarnation(long sentBeforeNanos) {
    List<Sent> resolved = new ArrayList<>(overdue.values());
    for (Sent sent : inFlight.values()) {
      if (sent.connectionBroken) {
        resolved.add(sent);
      }
    }
    resolved.removeIf(sent -> sent.sentNanos - sentBeforeNanos > 0);
    resolved.forEach(sent -> resolve(sent.request.requestId()));
    return resolved;
  }

  /** Returns a text that names the hash slot of a request, for messages. */
  static String describeHashSlot(OptionalInt hashSlot) {
    return hashSlot.isPresent() ? "hash slot " + hashSlot.getAsInt() : "an unkeyed request";
  }
}
