package io.coltsfootwheel.consensus;

import java.util.Optional;

/**
 * Promises of a member that must survive a restart.
 *
 * @param term highest term that the member has seen
 * @param vote member that got this member's vote in the term
 * @param initialConfiguration configuration fixed at bootstrap, empty for members that joined later
 */
public record HardState(
    long term, Optional<MemberId> vote, Optional<Configuration> initialConfiguration) {
  /**
   * Returns the state of an empty data folder.
   *
   * @return term 0 without vote and configuration
   */
  public static HardState empty() {
    return new HardState(0, Optional.empty(), Optional.empty());
  }
}
