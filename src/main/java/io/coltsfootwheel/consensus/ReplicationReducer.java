package io.coltsfootwheel.consensus;

import java.util.List;

/** Deterministic reducer of one member of the replication group. */
public final class ReplicationReducer {
  /**
   * Restores a member.
   *
   * @param settings settings of the member
   * @param durable content of its data folder
   * @param nowNanos time of the start
   */
  public ReplicationReducer(ReplicationSettings settings, DurableState durable, long nowNanos) {}

  /**
   * Processes an event.
   *
   * @param event the event
   * @return what the driver executes, in order
   */
  public List<ReplicationEffect> apply(ReplicationEvent event) {
    return List.of();
  }
}
