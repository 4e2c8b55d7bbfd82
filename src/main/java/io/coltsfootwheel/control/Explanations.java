package io.coltsfootwheel.control;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Bounded list of the latest explanations.
 *
 * @param entries oldest first
 */
record Explanations(List<Explanation> entries) {
  private static final int KEPT = 1_024;

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
    int skipped = Math.max(0, entries.size() - KEPT + 1);
    List<Explanation> changed = new ArrayList<>(entries.size() - skipped + 1);
    changed.addAll(entries.subList(skipped, entries.size()));
    changed.add(explanation);
    return new Explanations(Collections.unmodifiableList(changed));
  }

  List<Explanation> of(String subject) {
    List<Explanation> found = new ArrayList<>();
    for (int i = entries.size() - 1; i >= 0; i--) {
      if (entries.get(i).subject().equals(subject)) {
        found.add(entries.get(i));
      }
    }
    return List.copyOf(found);
  }
}
