package io.coltsfootwheel.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * First results of operators' changes by their identities, in the order of the changes.
 *
 * <p>Operators make about 2,200 changes a day, so the copy of the map on each change is cheap
 * enough, and 10,000 identities last for more than four days.
 *
 * @param results result of each identity, oldest first
 */
record ChangeMemory(Map<String, CommandResult> results) {
  static final int KEPT = 10_000;

  static ChangeMemory empty() {
    return new ChangeMemory(Map.of());
  }

  Optional<CommandResult> first(String changeId) {
    return Optional.ofNullable(results.get(changeId));
  }

  ChangeMemory with(String changeId, CommandResult result) {
    Map<String, CommandResult> changed = new LinkedHashMap<>(results);
    changed.put(changeId, result);
    List<String> ids = new ArrayList<>(changed.keySet());
    for (int i = 0; i < ids.size() - KEPT; i++) {
      changed.remove(ids.get(i));
    }
    return new ChangeMemory(Collections.unmodifiableMap(changed));
  }
}
