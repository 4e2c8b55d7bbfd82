package io.coltsfootwheel.routing;

import io.coltsfootwheel.model.ServiceName;
import java.util.Optional;

/**
 * Routing properties of a service.
 *
 * @param name the service
 * @param keyed true when each key is held by exactly one target
 * @param maxConnections connections that one target accepts from all callers together
 * @param grantMethod how targets of a keyed service learn which keys they hold; {@link
 *     GrantMethod#HEARTBEAT} when a stored configuration does not name it
 * @param warmup limit of cold targets; empty when they sustain the same load as warm ones, or when
 *     a stored configuration does not name it
 */
public record ServicePolicy(
    ServiceName name,
    boolean keyed,
    int maxConnections,
    GrantMethod grantMethod,
    Optional<WarmupPolicy> warmup) {
  /** Replaces missing components, which configurations of earlier versions do not have. */
  public ServicePolicy {
    grantMethod = grantMethod == null ? GrantMethod.HEARTBEAT : grantMethod;
    warmup = warmup == null ? Optional.empty() : warmup;
  }

  /**
   * Creates the policy of a service whose cold targets have no limit.
   *
   * @param name the service
   * @param keyed true when each key is held by exactly one target
   * @param maxConnections connections that one target accepts from all callers together
   * @param grantMethod how targets of a keyed service learn which keys they hold
   */
  public ServicePolicy(
      ServiceName name, boolean keyed, int maxConnections, GrantMethod grantMethod) {
    this(name, keyed, maxConnections, grantMethod, Optional.empty());
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
