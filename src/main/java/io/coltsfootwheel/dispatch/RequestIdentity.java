package io.coltsfootwheel.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Parsed value of the header {@code Idempotency-Key}.
 *
 * <p>Usage: {@code RequestIdentity.parse(header, stamps)}.
 *
 * @param value the whole header value
 * @param stamp log index of a stamp whose HMAC is valid, empty for an unstamped identity
 */
public record RequestIdentity(String value, OptionalLong stamp) {
  /** Longest header value in characters. */
  public static final int MAX_LENGTH = 128;

  /**
   * Parses a header value. A prefix that is not a valid stamp makes the identity unstamped, so a
   * forged or damaged stamp attests nothing.
   *
   * @param header the header value
   * @param stamps verifier with the cluster key
   * @return the identity, or empty when the value is blank or longer than {@link #MAX_LENGTH}
   */
  public static Optional<RequestIdentity> parse(String header, Stamp stamps) {
    if (header.isBlank() || header.length() > MAX_LENGTH) {
      return Optional.empty();
    }
    int colon = header.indexOf(':');
    boolean hasRandom = colon > 0 && colon < header.length() - 1;
    OptionalLong index =
        hasRandom ? stamps.verify(header.substring(0, colon)) : OptionalLong.empty();
    return Optional.of(new RequestIdentity(header, index));
  }
}
