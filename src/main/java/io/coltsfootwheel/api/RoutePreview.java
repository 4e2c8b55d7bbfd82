package io.coltsfootwheel.api;

import java.util.List;

/**
 * Where an entry would send a request now, and why.
 *
 * @param route name of the route, empty when none matches
 * @param reason why the request would be refused whatever its service, empty otherwise
 * @param routesAgeMillis age of the routes of the entry in milliseconds, -1 when never confirmed
 * @param ownersAgeMillis age of its targets and owners in milliseconds, -1 when never confirmed
 * @param services decision for each service of the route
 */
public record RoutePreview(
    String route,
    String reason,
    long routesAgeMillis,
    long ownersAgeMillis,
    List<ServicePreview> services) {
  /** Path at which an entry answers, on its readiness address. */
  public static final String PATH = "/api/route-preview";

  /** Query parameter with the host of the request. */
  public static final String HOST_PARAMETER = "host";

  /** Query parameter with the path of the request. */
  public static final String PATH_PARAMETER = "path";

  /** Query parameter with the key of the request, empty when it has none. */
  public static final String KEY_PARAMETER = "key";

  /** What the entry would do with the request. */
  public enum Decision {
    /** It would be sent to a target. */
    SEND,
    /** It would wait at the entry for a change of owners, or for a permit. */
    WAIT,
    /** It would be refused as not executed. */
    REFUSE
  }

  /** Copies the services. */
  public RoutePreview {
    services = List.copyOf(services);
  }

  /**
   * Decision for one service.
   *
   * @param service name of the service
   * @param weight weight of the service in the route
   * @param decision the decision
   * @param target target that the request would be sent to, empty when there is none
   * @param reason reason of the decision
   * @param millis time that the request may wait, or after which its client should retry, in
   *     milliseconds; 0 when it would be sent
   * @param targets targets that were considered
   */
  public record ServicePreview(
      String service,
      double weight,
      Decision decision,
      String target,
      String reason,
      long millis,
      List<TargetPreview> targets) {
    /** Copies the targets. */
    public ServicePreview {
      targets = List.copyOf(targets);
    }
  }

  /**
   * What the entry knows of a target.
   *
   * @param target identifier of the target
   * @param zone its availability zone
   * @param state whether it is ready, or why it is used less or not at all
   * @param inFlight estimated requests in flight of all entries
   * @param limit requests in flight up to which it receives more
   * @param millisPerRequest time for which a request occupies a slot, in milliseconds
   * @param expectedMillis expected response time of a request that is sent now, in milliseconds
   */
  public record TargetPreview(
      String target,
      String zone,
      String state,
      int inFlight,
      int limit,
      int millisPerRequest,
      long expectedMillis) {}
}
