package io.coltsfootwheel.routing;

/** Kinds of items in a configuration. */
public enum ItemType {
  /** A {@link Route}. */
  ROUTE,
  /** A {@link ServicePolicy}. */
  SERVICE,
  /** The {@link ClientLimits}. */
  LIMITS
}
