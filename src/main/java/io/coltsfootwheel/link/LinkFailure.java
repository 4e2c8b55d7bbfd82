package io.coltsfootwheel.link;

/** Reasons why connections and frames are rejected; each reason has a counter. */
public enum LinkFailure {
  /** The peer's handshake proof does not match the shared key. */
  WRONG_KEY,
  /** The peer belongs to another cluster. */
  WRONG_CLUSTER,
  /** The peer uses another protocol version. */
  WRONG_VERSION,
  /** The peer is another instance than the one expected at its address. */
  WRONG_INSTANCE,
  /** A frame is longer than 8 MiB. */
  FRAME_TOO_LARGE,
  /** A frame is malformed, or its kind is not allowed in the current state of the connection. */
  BAD_FRAME,
  /** The peer did not complete the handshake within its timeout. */
  HANDSHAKE_TIMEOUT,
  /** The peer did not answer a probe on an established connection. */
  SILENT,
  /** The connection could not be established. */
  CONNECT_FAILED,
  /** A frame was dropped because the outbound queue of its peer was full. */
  QUEUE_FULL,
  /** The connection held most of the frames that wait, and all together used too much memory. */
  MEMORY_EXCEEDED,
  /** A frame was addressed to an unknown peer. */
  UNKNOWN_PEER
}
