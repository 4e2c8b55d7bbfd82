package io.coltsfootwheel.relay;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Permits for cold targets that this entry asks the leader for; confined to the event loop. */
final class PermitDemand {
  /**
   * Limits the control traffic of an entry: with 8 targets a report grows by 112 bytes and the
   * answer with the permits has 228 bytes, ten times a second.
   */
  private static final int MAX_TARGETS = 8;

  /** Unkeyed services that received a request since the last report. */
  private final Set<ServiceName> unkeyedServices = new HashSet<>();

  private int rotation;

  private record PermitRequest(TargetId target, int permits, int waiting) {}

  /**
   * Records a request of an unkeyed service. One permit is asked for each cold target of it, since
   * an entry of many receives few requests for a service while a permit is valid.
   */
  void recordUnkeyed(ServiceName service) {
    unkeyedServices.add(service);
  }

  /** Returns the permits to ask for, by target, and forgets the recorded requests. */
  Map<TargetId, Integer> take(long nowNanos, RoutingState routing) {
    List<TargetStats> cold =
        routing.targets().stream().filter(t -> t.isCold() && !t.isLeaving()).toList();
    List<PermitRequest> requests = new ArrayList<>();
    for (TargetStats target : cold) {
      ServiceName service = target.spec().service();
      int waiting = target.permits().waitingRequests();
      boolean takesUnkeyed = unkeyedServices.contains(service) && !target.isEvacuated();
      int wanted = Math.max(waiting, takesUnkeyed ? 1 : 0);
      int missing = wanted - target.permits().available(nowNanos);
      if (missing > 0) {
        requests.add(new PermitRequest(target.spec().id(), missing, waiting));
      }
    }
    unkeyedServices.clear();
    return selected(requests);
  }

  /** Returns the requests with the most waiting requests; equal ones take turns. */
  private Map<TargetId, Integer> selected(List<PermitRequest> requests) {
    if (requests.size() > MAX_TARGETS) {
      Collections.rotate(requests, rotation);
      rotation += MAX_TARGETS;
      requests.sort(Comparator.comparingInt(PermitRequest::waiting).reversed());
    }
    Map<TargetId, Integer> permits = new LinkedHashMap<>();
    requests.stream().limit(MAX_TARGETS).forEach(w -> permits.put(w.target(), w.permits()));
    return permits;
  }
}
