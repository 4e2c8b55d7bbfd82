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

/** Makes and checks the messages with which both sides prove that they hold the cluster's key. */
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

  /** Loads cryptography and codec, so that the first peers do not time out in a new process. */
  static void warmUp(LinkSettings settings) {
    Handshake opener = new Handshake(settings);
    Handshake acceptor = new Handshake(settings);
    Hello opening = Hello.decode(opener.opening(LinkChannel.CONTROL).toFrame().payload());
    opener.isAcceptanceProven(acceptor.acceptance(opening));
  }

  Hello opening(LinkChannel channel) {
    return hello(channel, new byte[0]);
  }

  /** Message of the accepting side. */
  Hello acceptance(Hello opening) {
    Hello unproven = hello(opening.channel(), new byte[0]);
    return hello(opening.channel(), proof(Role.ACCEPTING, opening, unproven));
  }

  /** Last message of the opening side. */
  Hello confirmation(Hello acceptance) {
    Hello unproven = opening(acceptance.channel());
    return hello(acceptance.channel(), proof(Role.OPENING, unproven, acceptance));
  }

  /** Checks cluster and version of a peer, which are not secret. */
  Optional<LinkFailure> mismatch(Hello peer) {
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

  boolean isAcceptanceProven(Hello acceptance) {
    byte[] expected = proof(Role.ACCEPTING, opening(acceptance.channel()), acceptance);
    return MessageDigest.isEqual(expected, acceptance.proof());
  }

  boolean isConfirmationProven(Hello opening, Hello confirmation) {
    Hello own = hello(opening.channel(), new byte[0]);
    return MessageDigest.isEqual(proof(Role.OPENING, opening, own), confirmation.proof());
  }

  private Hello hello(LinkChannel channel, byte[] proof) {
    return new Hello(
        settings.cluster(),
        Hello.VERSION,
        settings.instance().value(),
        settings.session(),
        channel,
        nonce,
        proof);
  }

  /** The role is part of the proof, so that a proof cannot be reflected to its maker. */
  private byte[] proof(Role role, Hello opening, Hello acceptance) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(settings.key(), ALGORITHM));
      update(mac, role.name());
      for (Hello side : new Hello[] {opening, acceptance}) {
        update(mac, side.cluster());
        update(mac, Integer.toString(side.version()));
        update(mac, side.instance());
        update(mac, side.session());
        update(mac, side.channel().name());
        mac.update(side.nonce());
      }
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_SETTINGS, "cluster key is not usable", e);
    }
  }

  /** The length keeps adjacent fields apart. */
  private static void update(Mac mac, String text) {
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
