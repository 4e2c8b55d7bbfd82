package io.coltsfootwheel.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Parsed value of the header {@code Idempotency-Key}.
 *
 * <p>Usage: {@code RequestIdentity.parse(header, signer)}.
 *
 * @param value the complete header value
 * @param stamp log index of a stamp whose HMAC is valid, empty for an unstamped identity
 */
public record RequestIdentity(String value, OptionalLong stamp) {
  /** Longest header value in characters. */
  public static final int MAX_LENGTH = 128;

  /**
   * Parses a header value of the form {@code stamp:random} or any other text. When the text before
   * the first colon is not a valid stamp, the identity is unstamped, so a forged or damaged stamp
   * proves nothing about its age.
   *
   * @param header the header value
   * @param signer verifies stamps with the cluster key
   * @return the identity, or empty when the value is blank or longer than {@link #MAX_LENGTH}
   */
  public static Optional<RequestIdentity> parse(String header, StampSigner signer) {
    if (header.isBlank() || header.length() > MAX_LENGTH) {
      return Optional.empty();
    }
    int colon = header.indexOf(':');
    boolean hasStampPrefix = colon > 0 && colon < header.length() - 1;
    OptionalLong stampIndex =
        hasStampPrefix ? signer.verify(header.substring(0, colon)) : OptionalLong.empty();
    return Optional.of(new RequestIdentity(header, stampIndex));
  }
}
