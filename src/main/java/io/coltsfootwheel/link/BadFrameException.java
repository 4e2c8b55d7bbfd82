package io.coltsfootwheel.link;

/** Closes a connection whose peer violated the frame protocol. */
final class BadFrameException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final LinkFailure failure;

  BadFrameException(LinkFailure failure) {
    super(failure.name(), null, false, false);
    this.failure = failure;
  }

  LinkFailure failure() {
    return failure;
  }
}
