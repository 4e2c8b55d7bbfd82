package io.coltsfootwheel.dispatch;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.OptionalLong;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Formats and verifies stamps, which are log indexes signed by HMAC-SHA-256 with the cluster key.
 *
 * <p>A stamp has the form {@code index.mac} with the index in decimal and the first 16 bytes of the
 * HMAC in unpadded URL-safe base64. Usage: {@code new
 * StampSigner(key).format(view.appliedIndex())}.
 */
public final class StampSigner {
  private static final String ALGORITHM = "HmacSHA256";
  private static final byte[] MAC_DOMAIN =
      "coltsfootwheel-stamp-1".getBytes(StandardCharsets.US_ASCII);
  private static final int MAC_BYTES = 16;
  private static final int MAX_INDEX_DIGITS = 18;

  private final SecretKeySpec key;

  /**
   * Creates a signer.
   *
   * @param key the cluster key, not empty
   */
  public StampSigner(byte[] key) {
    this.key = new SecretKeySpec(key, ALGORITHM);
  }

  /**
   * Returns the stamp of a log index.
   *
   * @param index an applied log index, not negative
   * @return the text for the header {@code Coltsfootwheel-Stamp}
   */
  public String format(long index) {
    return index + "." + Base64.getUrlEncoder().withoutPadding().encodeToString(mac(index));
  }

  /**
   * Verifies a stamp.
   *
   * @param text the stamp, as made by {@link #format}
   * @return its log index, or empty when the text is not a stamp made with this key
   */
  public OptionalLong verify(String text) {
    int separator = text.indexOf('.');
    if (separator < 1 || separator > MAX_INDEX_DIGITS) {
      return OptionalLong.empty();
    }
    try {
      long index = Long.parseUnsignedLong(text.substring(0, separator));
      byte[] claimedMac = Base64.getUrlDecoder().decode(text.substring(separator + 1));
      boolean valid = MessageDigest.isEqual(claimedMac, mac(index));
      return valid ? OptionalLong.of(index) : OptionalLong.empty();
    } catch (IllegalArgumentException e) {
      return OptionalLong.empty();
    }
  }

  private byte[] mac(long index) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update(MAC_DOMAIN);
      mac.update(ByteBuffer.allocate(Long.BYTES).putLong(index).flip());
      return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("this Java runtime lacks " + ALGORITHM, e);
    }
  }
}
