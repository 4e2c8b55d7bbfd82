package io.coltsfootwheel.listener;

/** What the heads of requests may contain, and use besides their bytes, on all listeners. */
public final class HeadMemory {
  /** Empty lines before a request; some clients send one behind the body of another request. */
  public static final int MAX_EMPTY_LINE_BYTES = 64;

  /** Memory of the objects that hold one header field. */
  public static final int FIELD_OVERHEAD_BYTES = 192;

  private HeadMemory() {}
}
