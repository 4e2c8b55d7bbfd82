package io.coltsfootwheel.link;

import java.util.Optional;
import java.util.function.Supplier;

/**
 * Check of a data connection. Its loss leaves requests with an unknown outcome, so it is kept while
 * the whole peer may be paused: until the control connection has shown that the peer answers.
 */
final class ControlEvidence implements SilenceCheck {
  private final Supplier<Optional<ConnectionProber>> control;

  /**
   * Creates a check.
   *
   * @param control prober of the control connection to the same peer, empty while there is none
   */
  ControlEvidence(Supplier<Optional<ConnectionProber>> control) {
    this.control = control;
  }

  @Override
  public void probeSent() {
    control.get().ifPresent(ConnectionProber::probeNow);
  }

  @Override
  public boolean showsSilence(long probeSentNanos) {
    Optional<ConnectionProber> prober = control.get();
    prober.ifPresent(ConnectionProber::probeNow);
    return prober.filter(p -> p.hasAnsweredProbeSince(probeSentNanos)).isPresent();
  }
}
