package io.coltsfootwheel.link;

import java.util.Optional;

/** Kinds of frames; the ordinal is the kind byte on the wire, so new kinds go to the end. */
public enum FrameKind {
  /** Opens a connection; sent by both sides. */
  HELLO(LinkChannel.CONTROL),
  /** Message of the consensus group. */
  REPLICATION(LinkChannel.CONTROL),
  /** Lease renewal of an instance. */
  RENEW(LinkChannel.CONTROL),
  /** Acknowledgement of a renewal. */
  RENEW_ACK(LinkChannel.CONTROL),
  /** Proposal of a command to the leader. */
  PROPOSE(LinkChannel.CONTROL),
  /** Result of a proposal. */
  PROPOSED(LinkChannel.CONTROL),
  /** Request for the control state and its changes. */
  SUBSCRIBE(LinkChannel.CONTROL),
  /** Whole control state. */
  STATE_SNAPSHOT(LinkChannel.CONTROL),
  /** Changes of the control state. */
  STATE_DELTA(LinkChannel.CONTROL),
  /** Shares of admission limits. */
  TOKENS(LinkChannel.CONTROL),
  /** Caller's request on its way to the dispatcher; {@link ForwardFrame}. */
  FORWARD(LinkChannel.DATA),
  /** Status and headers of a response; {@link ResponseHeadFrame}. */
  RESPONSE_HEAD(LinkChannel.DATA),
  /** Part of a response body; {@link ResponseChunkFrame}. */
  RESPONSE_CHUNK(LinkChannel.DATA),
  /** Complete end of a response; {@link RequestIdFrame}. */
  RESPONSE_END(LinkChannel.DATA),
  /** Error response of the dispatcher; {@link ResponseRefusedFrame}. */
  RESPONSE_REFUSED(LinkChannel.DATA),
  /** Response that ended before it was complete; {@link ResponseAbortFrame}. */
  RESPONSE_ABORT(LinkChannel.DATA),
  /** Permission to send further body bytes; {@link CreditFrame}. */
  CREDIT(LinkChannel.DATA),
  /** The caller has gone; {@link RequestIdFrame}. */
  CANCEL(LinkChannel.DATA),
  /** Message of a deployment whose targets hold keys by report. */
  NODE(LinkChannel.CONTROL);

  private static final FrameKind[] KINDS = values();

  private final LinkChannel channel;

  FrameKind(LinkChannel channel) {
    this.channel = channel;
  }

  /**
   * Returns the connection on which frames of this kind travel.
   *
   * @return the channel; {@link #HELLO} opens connections of both channels
   */
  public LinkChannel channel() {
    return channel;
  }

  /**
   * Returns the kind of a wire byte.
   *
   * @param code the byte after the length
   * @return the kind, or empty for an unknown byte
   */
  static Optional<FrameKind> ofCode(int code) {
    return code >= 0 && code < KINDS.length ? Optional.of(KINDS[code]) : Optional.empty();
  }
}
