package io.coltsfootwheel.model;

/**
 * Exception with an error kind; the message states the fault, the code and the remedy.
 *
 * <p>Usage: {@code throw ColtsfootwheelException.of(ErrorKind.NO_OWNER, "slot 17 has no owner")}.
 */
public final class ColtsfootwheelException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;
  private final String fault;

  private ColtsfootwheelException(ErrorKind kind, String fault, Throwable cause) {
    super(message(kind, fault), cause);
    this.kind = kind;
    this.fault = fault;
  }

  /**
   * Returns an exception of a kind.
   *
   * @param kind the kind of the error
   * @param fault what is wrong, without the remedy
   * @return the exception
   */
  public static ColtsfootwheelException of(ErrorKind kind, String fault) {
    return new ColtsfootwheelException(kind, fault, null);
  }

  /**
   * Returns an exception of a kind with its cause.
   *
   * @param kind the kind of the error
   * @param fault what is wrong, without the remedy
   * @param cause the cause
   * @return the exception
   */
  public static ColtsfootwheelException of(ErrorKind kind, String fault, Throwable cause) {
    return new ColtsfootwheelException(kind, fault, cause);
  }

  private static String message(ErrorKind kind, String fault) {
    return fault + " (" + kind.code() + "; remedy: " + kind.remedy() + ")";
  }

  /**
   * Returns the kind of the error.
   *
   * @return the kind
   */
  public ErrorKind kind() {
    return kind;
  }

  /**
   * Returns what is wrong, for responses that have separate fields for code and remedy.
   *
   * @return the fault without code and remedy
   */
  public String fault() {
    return fault;
  }
}
