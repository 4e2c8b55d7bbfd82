package io.coltsfootwheel.link;

/**
 * One message between two instances.
 *
 * <p>The payload is not copied; neither sender nor receiver changes it afterwards.
 *
 * @param kind the kind
 * @param payload MessagePack bytes, at most {@link #MAX_PAYLOAD_BYTES}
 */
public record Frame(FrameKind kind, byte[] payload) {
  /** Largest frame on the wire, without the length field. */
  public static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

  /** Largest payload; the kind takes one byte of the frame. */
  public static final int MAX_PAYLOAD_BYTES = MAX_FRAME_BYTES - 1;
}
