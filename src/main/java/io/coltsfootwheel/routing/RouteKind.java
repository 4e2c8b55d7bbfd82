package io.coltsfootwheel.routing;

/** Whether the requests of a route may be executed more than once. */
public enum RouteKind {
  /** Requests may be executed more than once. */
  SAFE {
    @Override
    public boolean isIdempotent() {
      return true;
    }
  },
  /** Each request that a client sends may be executed at most once. */
  UNSAFE {
    @Override
    public boolean isIdempotent() {
      return false;
    }
  },
  /** Responses are large; requests may be executed more than once. */
  DOWNLOAD {
    @Override
    public boolean isIdempotent() {
      return true;
    }
  },
  /** Request bodies are large; each request that a client sends may be executed at most once. */
  UPLOAD {
    @Override
    public boolean isIdempotent() {
      return false;
    }
  };

  /**
   * Returns whether a request may be sent again although it may have been executed.
   *
   * @return true when a second execution is harmless
   */
  public abstract boolean isIdempotent();

  /**
   * Returns whether requests or responses are large, so that links between availability zones limit
   * the choice of a target.
   *
   * @return true for uploads and downloads
   */
  public boolean isBulk() {
    return this == DOWNLOAD || this == UPLOAD;
  }
}
