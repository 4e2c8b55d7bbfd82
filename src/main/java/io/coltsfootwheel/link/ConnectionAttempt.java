package io.coltsfootwheel.link;

import io.netty.channel.Channel;
import java.util.Optional;

/**
 * One attempt to open a connection.
 *
 * @param connection the connection that is opened
 * @param replacement what the attempt belongs to if it is to take the place of another connection
 * @param failedAttempts attempts that have failed before this one
 */
record ConnectionAttempt(
    OutboundConnection connection, Optional<Replacement> replacement, int failedAttempts) {
  /** See {@link OutboundConnection#needs}. */
  boolean isNeeded() {
    return connection.needs(this);
  }

  /** See {@link OutboundConnection#onConnected}. */
  void succeeded(Channel channel, String session, Optional<ConnectionProber> prober) {
    connection.onConnected(this, channel, session, prober);
  }

  /** See {@link OutboundConnection#onAttemptFailed}. */
  void failed(LinkFailure failure) {
    connection.onAttemptFailed(this, failure);
  }
}
