package io.coltsfootwheel.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Results of the operators' changes by change identity. A change that is submitted again with the
 * same identity gets the result of the first submission.
 *
 * <p>Operators make about 2,200 changes a day, so copying the map on each change is cheap enough,
 * and 10,000 identities cover more than four days.
 *
 * @param results result of each change identity, oldest first
 */
record ChangeResults(Map<String, CommandResult> results) {
  static final int MAX_RESULTS = 10_000;

  static ChangeResults empty() {
    return new ChangeResults(Map.of());
  }

  Optional<CommandResult> firstResult(String changeId) {
    return Optional.ofNullable(results.get(changeId));
  }

  ChangeResults with(String changeId, CommandResult result) {
    Map<String, CommandResult> changed = new LinkedHashMap<>(results);
    changed.put(changeId, result);
    List<String> ids = new ArrayList<>(changed.keySet());
    for (int i = 0; i < ids.size() - MAX_RESULTS; i++) {
      changed.remove(ids.get(i));
    }
    return new ChangeResults(Collections.unmodifiableMap(changed));
  }
}
