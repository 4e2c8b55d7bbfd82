package io.coltsfootwheel.deployment;

import java.util.Set;

/** Cases of {@link CrowdTest} that are listed in KNOWN-RED.txt; each is a port and a kind. */
final class CrowdKnownRed {
  private static final Set<String> CASES =
      Set.of(
          "FRONT AHEAD_ORDINARY",
          "FRONT AHEAD_UNKNOWN_PATH",
          "CONTROL AHEAD_UNKNOWN_PATH",
          "CONTROL AHEAD_REFUSED_CHANGE");

  private CrowdKnownRed() {}

  static boolean contains(CrowdPort port, CrowdKind kind) {
    return CASES.contains(port + " " + kind);
  }
}
