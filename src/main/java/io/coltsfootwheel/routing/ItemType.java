package io.coltsfootwheel.routing;

/** Type of an item in a configuration. */
public enum ItemType {
  /** A {@link Route}. */
  ROUTE,
  /** A {@link ServicePolicy}. */
  SERVICE,
  /** The {@link ClientLimits}. */
  LIMITS
}
