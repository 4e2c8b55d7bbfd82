package io.coltsfootwheel.routing;

import io.coltsfootwheel.model.ServiceName;

/**
 * Routing properties of a service.
 *
 * @param name the service
 * @param keyed true when each key is held by exactly one target
 * @param maxConnections connections that one target accepts from all callers together
 * @param grantMethod how targets of a keyed service learn which keys they hold; {@link
 *     GrantMethod#HEARTBEAT} when a stored configuration does not name it
 */
public record ServicePolicy(
    ServiceName name, boolean keyed, int maxConnections, GrantMethod grantMethod) {
  /** Replaces a missing grant method, which configurations of earlier versions do not have. */
  public ServicePolicy {
    grantMethod = grantMethod == null ? GrantMethod.HEARTBEAT : grantMethod;
  }

  /**
   * Creates the policy of a service whose keys are granted in answers to reports.
   *
   * @param name the service
   * @param keyed true when each key is held by exactly one target
   * @param maxConnections connections that one target accepts from all callers together
   */
  public ServicePolicy(ServiceName name, boolean keyed, int maxConnections) {
    this(name, keyed, maxConnections, GrantMethod.HEARTBEAT);
  }
}
