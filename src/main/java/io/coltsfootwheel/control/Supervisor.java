package io.coltsfootwheel.control;

import java.util.List;

/** Leader-side reducer that decides which commands to propose and which renewals to allow. */
public final class Supervisor {
  /**
   * Handles an event.
   *
   * @param event the event
   * @return effects to execute in order
   */
  public List<SupervisorEffect> apply(SupervisorEvent event) {
    return List.of();
  }
}
