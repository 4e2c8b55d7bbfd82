package io.coltsfootwheel.deployment;

import java.util.Set;

/** Cases of {@link CrowdTest} that are listed in KNOWN-RED.txt; each is a port and a kind. */
final class CrowdKnownRed {
  private static final Set<String> CASES =
      Set.of(
          "CONTROL AHEAD_ORDINARY",
          "CONTROL AHEAD_REFUSED_CHANGE",
          "CONTROL AHEAD_UNKNOWN_PATH",
          "CONTROL HALF_HEADS",
          "CONTROL IDLE",
          "CONTROL LARGEST_BODIES",
          "CONTROL LARGEST_CHANGES",
          "CONTROL_LINK IDLE",
          "CONTROL_LINK LINK_OPENING_WITHOUT_END",
          "CONTROL_METRICS AHEAD_ORDINARY",
          "CONTROL_METRICS AHEAD_UNKNOWN_PATH",
          "CONTROL_METRICS HALF_HEADS",
          "CONTROL_METRICS IDLE",
          "ENTRY_LINK IDLE",
          "ENTRY_LINK LINK_OPENING_WITHOUT_END",
          "ENTRY_METRICS AHEAD_ORDINARY",
          "ENTRY_METRICS AHEAD_UNKNOWN_PATH",
          "ENTRY_METRICS HALF_HEADS",
          "ENTRY_METRICS IDLE",
          "FRONT AHEAD_ORDINARY",
          "FRONT AHEAD_UNKNOWN_PATH",
          "FRONT HALF_HEADS",
          "FRONT HEADS_OVER_LIMIT",
          "FRONT HEAD_WITHOUT_END",
          "FRONT IDLE",
          "FRONT LARGEST_BODIES",
          "FRONT LINE_WITHOUT_END",
          "FRONT LONG_HEADERS",
          "READINESS AHEAD_ORDINARY",
          "READINESS AHEAD_UNKNOWN_PATH",
          "READINESS HALF_HEADS",
          "READINESS IDLE");

  private CrowdKnownRed() {}

  static boolean contains(CrowdPort port, CrowdKind kind) {
    return CASES.contains(port + " " + kind);
  }
}
