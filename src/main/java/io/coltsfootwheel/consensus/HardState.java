package io.coltsfootwheel.consensus;

import java.util.Optional;

/**
 * State of a member that must be durable before the member sends a message that depends on it, so
 * that it cannot vote twice in a term after a restart.
 *
 * @param term highest term that the member has seen
 * @param vote member that this member voted for in the term
 * @param initialConfiguration configuration set at bootstrap, empty for members that joined later
 */
public record HardState(
    long term, Optional<MemberId> vote, Optional<GroupConfiguration> initialConfiguration) {
  /**
   * Returns the state of an empty data folder.
   *
   * @return term 0 without vote and configuration
   */
  public static HardState empty() {
    return new HardState(0, Optional.empty(), Optional.empty());
  }
}
