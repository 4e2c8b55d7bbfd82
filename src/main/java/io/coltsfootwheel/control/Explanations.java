package io.coltsfootwheel.control;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Bounded list of the reasons for the latest changes of the control state.
 *
 * @param entries explanations, oldest first
 */
record Explanations(List<Explanation> entries) {
  private static final int MAX_ENTRIES = 1_024;

  static Explanations empty() {
    return new Explanations(List.of());
  }

  static String target(TargetId target) {
    return "target:" + target;
  }

  static String instance(InstanceId instance) {
    return "instance:" + instance;
  }

  static String slots(ServiceName service) {
    return "slots:" + service;
  }

  Explanations with(Explanation explanation) {
    int evicted = Math.max(0, entries.size() - MAX_ENTRIES + 1);
    List<Explanation> changed = new ArrayList<>(entries.size() - evicted + 1);
    changed.addAll(entries.subList(evicted, entries.size()));
    changed.add(explanation);
    return new Explanations(Collections.unmodifiableList(changed));
  }

  List<Explanation> latestFirst(String subject) {
    List<Explanation> found = new ArrayList<>();
    for (int i = entries.size() - 1; i >= 0; i--) {
      if (entries.get(i).subject().equals(subject)) {
        found.add(entries.get(i));
      }
    }
    return List.copyOf(found);
  }
}
