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
 * and 10,000 identities cover more than four days. Results with long texts push the oldest out
 * earlier, because they are part of each snapshot.
 *
 * @param results result of each change identity, oldest first
 */
record ChangeResults(Map<String, CommandResult> results) {
  static final int MAX_RESULTS = 10_000;

  /** Length of all texts; 10,000 results without one and with identities of 128 stay below it. */
  static final long MAX_TEXT_LENGTH = 4 * 1024 * 1024;

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
    long textLength = 0;
    for (Map.Entry<String, CommandResult> entry : changed.entrySet()) {
      textLength += textLength(entry);
    }
    int i = 0;
    while (changed.size() > 1 && (changed.size() > MAX_RESULTS || textLength > MAX_TEXT_LENGTH)) {
      textLength -= textLength(Map.entry(ids.get(i), changed.remove(ids.get(i))));
      i++;
    }
    return new ChangeResults(Collections.unmodifiableMap(changed));
  }

  private static long textLength(Map.Entry<String, CommandResult> result) {
    return result.getKey().length() + result.getValue().textLength();
  }
}
