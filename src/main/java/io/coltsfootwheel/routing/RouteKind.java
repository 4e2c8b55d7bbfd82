package io.coltsfootwheel.routing;

/** What may be repeated of the requests of a route. */
public enum RouteKind {
  /** Requests may run more than once. */
  SAFE {
    @Override
    public boolean isIdempotent() {
      return true;
    }
  },
  /** Requests may run at most once for each attempt of a client. */
  UNSAFE {
    @Override
    public boolean isIdempotent() {
      return false;
    }
  },
  /** Large responses; requests may run more than once. */
  DOWNLOAD {
    @Override
    public boolean isIdempotent() {
      return true;
    }
  };

  /**
   * Tells whether a request may be sent again after it may have run.
   *
   * @return true when a second execution is harmless
   */
  public abstract boolean isIdempotent();
}
