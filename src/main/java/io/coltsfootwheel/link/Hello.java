package io.coltsfootwheel.link;

import io.coltsfootwheel.model.ControlCodec;

/**
 * Message of the handshake: first from the opening side, then with proof from the accepting side,
 * then with proof from the opening side.
 *
 * @param cluster name of the cluster
 * @param version version of the protocol
 * @param instance sender
 * @param session session of the sender's process
 * @param channel what the connection is for
 * @param nonce random bytes of the sender, new for each connection
 * @param proof HMAC over the handshake, empty in the first message
 */
record Hello(
    String cluster,
    int version,
    String instance,
    String session,
    LinkChannel channel,
    byte[] nonce,
    byte[] proof) {
  /** Changes when frames or data-plane records change incompatibly. */
  static final int VERSION = 1;

  Frame toFrame() {
    return new Frame(FrameKind.HELLO, ControlCodec.encode(this));
  }

  static Hello decode(byte[] payload) {
    return ControlCodec.decode(payload, Hello.class);
  }

  boolean isComplete() {
    return cluster != null
        && instance != null
        && session != null
        && channel != null
        && nonce != null
        && nonce.length == Handshake.NONCE_BYTES
        && proof != null;
  }
}
