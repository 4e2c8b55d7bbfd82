package io.coltsfootwheel.relay;

/** How a response of a target ends. */
enum ResponseEnd {
  /** The target sent the response to its end, which its framing or the end of the input tells. */
  COMPLETE,
  /** The connection failed or was closed on this side before the end of the response. */
  BROKEN
}
