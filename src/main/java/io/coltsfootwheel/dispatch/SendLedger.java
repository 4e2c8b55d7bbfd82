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
 * Requests that one dispatcher has sent: those that occupy a slot, and those that are unresolved.
 *
 * <p>A request without reply occupies its slot until the deadline plus {@link #GRACE_NANOS}. Then
 * it is unresolved: the target may still execute it, so its hash slot counts as open until a late
 * reply or a new incarnation of the target.
 */
final class SendLedger {
  /** Time after the deadline for which a request without reply still occupies its slot. */
  static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** One request that was sent. */
  static final class Sent {
    final DispatchRequest request;
    final long sentNanos;

    /** True once the caller has an answer or no longer waits. */
    boolean answered;

    /** True once the connection broke; no reply can come. */
    boolean broken;

    private Sent(DispatchRequest request, long sentNanos) {
      this.request = request;
      this.sentNanos = sentNanos;
    }
  }

  private final SlotTable slots;
  private final Map<String, Sent> inFlight = new HashMap<>();
  private final Map<String, Sent> unresolved = new HashMap<>();

  SendLedger(SlotTable slots) {
    this.slots = slots;
  }

  int inFlight() {
    return inFlight.size();
  }

  /** Tells whether anything that was sent may still be executed. */
  boolean hasOpen() {
    return !inFlight.isEmpty() || !unresolved.isEmpty();
  }

  boolean contains(String requestId) {
    return inFlight.containsKey(requestId) || unresolved.containsKey(requestId);
  }

  Optional<Sent> find(String requestId) {
    return Optional.ofNullable(inFlight.get(requestId));
  }

  Collection<Sent> all() {
    return inFlight.values();
  }

  void sent(long nowNanos, DispatchRequest request) {
    inFlight.put(request.requestId(), new Sent(request, nowNanos));
    slots.sent(request.hashSlot());
  }

  /** Removes a request whose reply settles that it is no longer executed. */
  Optional<Sent> settle(String requestId) {
    Sent sent = inFlight.remove(requestId);
    if (sent == null) {
      sent = unresolved.remove(requestId);
    }
    if (sent != null) {
      slots.closed(sent.request.hashSlot());
    }
    return Optional.ofNullable(sent);
  }

  /** Makes requests unresolved whose grace has ended, and returns them. */
  List<Sent> expire(long nowNanos) {
    List<Sent> expired = new ArrayList<>();
    for (Sent sent : inFlight.values()) {
      if (nowNanos - sent.request.deadlineNanos() >= GRACE_NANOS) {
        expired.add(sent);
      }
    }
    for (Sent sent : expired) {
      inFlight.remove(sent.request.requestId());
      unresolved.put(sent.request.requestId(), sent);
    }
    return expired;
  }

  /** Settles what was sent to an incarnation of the target that has ended. */
  List<Sent> settleEndedIncarnation(long sentBeforeNanos) {
    List<Sent> settled = new ArrayList<>(unresolved.values());
    for (Sent sent : inFlight.values()) {
      if (sent.broken) {
        settled.add(sent);
      }
    }
    settled.removeIf(sent -> sent.sentNanos - sentBeforeNanos > 0);
    settled.forEach(sent -> settle(sent.request.requestId()));
    return settled;
  }

  /** Returns the hash slot of a request for messages. */
  static String slotText(OptionalInt hashSlot) {
    return hashSlot.isPresent() ? "hash slot " + hashSlot.getAsInt() : "unkeyed request";
  }
}
