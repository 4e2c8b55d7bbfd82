package io.coltsfootwheel.link;

/** Causes for which connections and frames are refused; each has a counter. */
public enum LinkFailure {
  /** The peer's proof does not fit the shared key. */
  WRONG_KEY,
  /** The peer belongs to another cluster. */
  WRONG_CLUSTER,
  /** The peer speaks another protocol version. */
  WRONG_VERSION,
  /** The peer is another instance than the one expected at its address. */
  WRONG_INSTANCE,
  /** A frame is longer than 8 MiB. */
  FRAME_TOO_LARGE,
  /** A frame is malformed or not expected at this point. */
  BAD_FRAME,
  /** The peer did not complete the handshake in time. */
  HANDSHAKE_TIMEOUT,
  /** The connection could not be made. */
  CONNECT_FAILED,
  /** The outbound queue was full. */
  QUEUE_FULL,
  /** The peer is not known. */
  UNKNOWN_PEER
}
