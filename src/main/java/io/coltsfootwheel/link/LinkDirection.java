package io.coltsfootwheel.link;

/** Direction of frames as seen by this instance. */
public enum LinkDirection {
  /** Taken from the send queue to be written to the socket. */
  SENT,
  /** Passed to the {@link LinkListener}. */
  RECEIVED
}
