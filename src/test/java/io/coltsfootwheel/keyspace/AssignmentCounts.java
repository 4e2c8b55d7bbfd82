package io.coltsfootwheel.keyspace;

/** Counts what the assignments of a simulation cost. */
final class AssignmentCounts {
  private int cold;
  private int movedKeys;

  /** Adds a command; only assignments of ranges count. */
  void add(FleetCommand command) {
    if (command instanceof FleetCommand.AssignRanges assign) {
      assign.assignments().stream().filter(AssignmentCounts::changesOwner).forEach(this::add);
    }
  }

  /** Joined ranges keep their owner and need no token, so they are not counted. */
  private static boolean changesOwner(FleetCommand.Assignment assignment) {
    return !assignment.mayReplace(assignment.owner());
  }

  private void add(FleetCommand.Assignment assignment) {
    cold += assignment.handoverToken().isEmpty() ? 1 : 0;
    movedKeys += assignment.range().width();
  }

  /** Returns the assignments without a handover token. */
  int cold() {
    return cold;
  }

  /** Returns how many keys were assigned to another owner than before, counted at each move. */
  int movedKeys() {
    return movedKeys;
  }
}
