package io.coltsfootwheel.link;

import io.coltsfootwheel.model.ControlCodec;

/**
 * Handshake message, sent three times: by the opening side without a proof, by the accepting side
 * with its proof, and by the opening side with its proof.
 *
 * @param cluster name of the cluster
 * @param version version of the protocol
 * @param instance id of the sending instance
 * @param session id of the sender's process, new after each restart
 * @param channel channel that the connection carries
 * @param nonce random bytes of the sender, new for each connection
 * @param proof HMAC over the first two messages, empty in the first message
 * @param answersProbes whether the sender answers {@link FrameKind#PROBE}; false for earlier
 *     versions, which do not send this component
 */
record Hello(
    String cluster,
    int version,
    String instance,
    String session,
    LinkChannel channel,
    byte[] nonce,
    byte[] proof,
    boolean answersProbes) {
  /** Protocol version; incremented on an incompatible change of frames or data-plane records. */
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
