package io.coltsfootwheel.link;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Creates and verifies the messages by which both sides prove that they hold the cluster key. */
final class Handshake {
  static final int NONCE_BYTES = 32;

  private static final String ALGORITHM = "HmacSHA256";
  private static final SecureRandom RANDOM = new SecureRandom();

  private final LinkSettings settings;
  private final byte[] nonce = new byte[NONCE_BYTES];

  Handshake(LinkSettings settings) {
    this.settings = settings;
    RANDOM.nextBytes(nonce);
  }

  /**
   * Loads the cryptography and codec classes in advance, so that the handshakes with the first
   * peers of a new process do not time out.
   */
  static void warmUp(LinkSettings settings) {
    Handshake initiator = new Handshake(settings);
    Handshake responder = new Handshake(settings);
    Hello opening = Hello.decode(initiator.openingHello(LinkChannel.CONTROL).toFrame().payload());
    initiator.isAcceptanceProofValid(responder.acceptanceHello(opening));
  }

  Hello openingHello(LinkChannel channel) {
    return newHello(channel, new byte[0]);
  }

  /** Returns the reply of the accepting side, with its proof. */
  Hello acceptanceHello(Hello opening) {
    Hello withoutProof = newHello(opening.channel(), new byte[0]);
    return newHello(opening.channel(), computeProof(Role.ACCEPTING, opening, withoutProof));
  }

  /** Returns the last message of the opening side, with its proof. */
  Hello confirmationHello(Hello acceptance) {
    Hello withoutProof = openingHello(acceptance.channel());
    return newHello(acceptance.channel(), computeProof(Role.OPENING, withoutProof, acceptance));
  }

  /** Checks the public fields of a peer's message: completeness, protocol version and cluster. */
  Optional<LinkFailure> findMismatch(Hello peer) {
    if (!peer.isComplete()) {
      return Optional.of(LinkFailure.BAD_FRAME);
    }
    if (peer.version() != Hello.VERSION) {
      return Optional.of(LinkFailure.WRONG_VERSION);
    }
    return settings.cluster().equals(peer.cluster())
        ? Optional.empty()
        : Optional.of(LinkFailure.WRONG_CLUSTER);
  }

  boolean isAcceptanceProofValid(Hello acceptance) {
    byte[] expected = computeProof(Role.ACCEPTING, openingHello(acceptance.channel()), acceptance);
    return MessageDigest.isEqual(expected, acceptance.proof());
  }

  boolean isConfirmationProofValid(Hello opening, Hello confirmation) {
    Hello own = newHello(opening.channel(), new byte[0]);
    return MessageDigest.isEqual(computeProof(Role.OPENING, opening, own), confirmation.proof());
  }

  private Hello newHello(LinkChannel channel, byte[] proof) {
    return new Hello(
        settings.cluster(),
        Hello.VERSION,
        settings.instance().value(),
        settings.session(),
        channel,
        nonce,
        proof,
        true);
  }

  /** Includes the role in the proof, so that a proof cannot be reflected to its sender. */
  private byte[] computeProof(Role role, Hello opening, Hello acceptance) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(settings.key(), ALGORITHM));
      updateMac(mac, role.name());
      for (Hello hello : new Hello[] {opening, acceptance}) {
        updateMac(mac, hello.cluster());
        updateMac(mac, Integer.toString(hello.version()));
        updateMac(mac, hello.instance());
        updateMac(mac, hello.session());
        updateMac(mac, hello.channel().name());
        mac.update(hello.nonce());
      }
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_SETTINGS, "cluster key cannot be used for HMAC-SHA256", e);
    }
  }

  /** Prefixes the text with its length, so that adjacent fields cannot be confused. */
  private static void updateMac(Mac mac, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    mac.update((byte) (bytes.length >>> Byte.SIZE));
    mac.update((byte) bytes.length);
    mac.update(bytes);
  }

  private enum Role {
    OPENING,
    ACCEPTING
  }
}
