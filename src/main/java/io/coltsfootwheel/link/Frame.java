package io.coltsfootwheel.link;

/**
 * Message between two instances.
 *
 * <p>The payload is not copied, so neither the sender nor the receiver may modify it.
 *
 * @param kind type of the message
 * @param payload MessagePack bytes, at most {@link #MAX_PAYLOAD_BYTES}
 */
public record Frame(FrameKind kind, byte[] payload) {
  static final Frame PROBE = new Frame(FrameKind.PROBE, new byte[0]);
  static final Frame PROBE_ANSWER = new Frame(FrameKind.PROBE_ANSWER, new byte[0]);

  /** Tells the opening side that a large frame is arriving, before a probe that follows it. */
  static final Frame RECEIVING = new Frame(FrameKind.PROBE_ANSWER, new byte[1]);

  /** Maximum size of a frame on the wire, without the length field. */
  public static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

  /** Maximum size of a payload; the kind takes one byte of the frame. */
  public static final int MAX_PAYLOAD_BYTES = MAX_FRAME_BYTES - 1;
}
