package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.TargetId;
import java.util.HashSet;
import java.util.Set;

/**
 * Limits how many targets are registered whose services are not configured. Such targets may wait
 * for a configuration, but their names, and so their number, can be chosen by anybody who reports.
 */
final class UnconfiguredTargets {
  /** Their records are in the memory and the snapshots of each control process. */
  static final int MAX_TARGETS = 4_096;

  private final Set<TargetId> admitted = new HashSet<>();

  /** Returns whether a target may be registered, and counts one that may. */
  boolean admit(TargetRecord target, FleetState state) {
    if (state.isConfigured(target) || admitted.contains(target.id())) {
      return true;
    }
    return admitted.size() < MAX_TARGETS && admitted.add(target.id());
  }

  /** Forgets the targets that are removed or configured by now. */
  void update(FleetState state) {
    admitted.clear();
    state.targets().stream().filter(t -> !state.isConfigured(t)).forEach(t -> admitted.add(t.id()));
  }
}
