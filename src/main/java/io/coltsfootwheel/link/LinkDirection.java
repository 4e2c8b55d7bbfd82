package io.coltsfootwheel.link;

/** Direction of frames as an instance sees it. */
public enum LinkDirection {
  /** Handed to the socket. */
  SENT,
  /** Delivered to the listener. */
  RECEIVED
}
