package io.coltsfootwheel.keyspace;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import io.coltsfootwheel.model.TargetId;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Immutable record of targets that have ended and were removed, with their last incarnations. A
 * report of such an incarnation was delayed on its way and must not register the target again.
 */
final class DepartedTargets {
  /** More than the targets that leave in the time for which a report can be delayed. */
  private static final int MAX_TARGETS = 4_096;

  private static final DepartedTargets NONE = new DepartedTargets(new LinkedHashMap<>());

  private final LinkedHashMap<TargetId, Long> incarnations;

  private DepartedTargets(LinkedHashMap<TargetId, Long> incarnations) {
    this.incarnations = incarnations;
  }

  static DepartedTargets none() {
    return NONE;
  }

  @JsonCreator
  static DepartedTargets of(LinkedHashMap<TargetId, Long> incarnations) {
    return new DepartedTargets(incarnations);
  }

  /** Returns the incarnations by target, oldest departure first. */
  @JsonValue
  Map<TargetId, Long> incarnations() {
    return incarnations;
  }

  /** Returns this record with one more target; the oldest is dropped when there are too many. */
  DepartedTargets with(TargetRecord target) {
    LinkedHashMap<TargetId, Long> next = new LinkedHashMap<>(incarnations);
    next.remove(target.id());
    next.put(target.id(), target.incarnationMillis());
    if (next.size() > MAX_TARGETS) {
      next.remove(next.keySet().iterator().next());
    }
    return new DepartedTargets(next);
  }

  /** Returns whether an incarnation of a target has ended. */
  boolean contains(TargetId target, long incarnationMillis) {
    return incarnations.getOrDefault(target, Long.MIN_VALUE) >= incarnationMillis;
  }
}
