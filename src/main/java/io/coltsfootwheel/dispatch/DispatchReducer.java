package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.control.RoutingView;
import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Dispatches requests to the targets whose dispatch grant this instance holds.
 *
 * <p>A request is sent to its target only while the lease of this instance is valid, this instance
 * holds the grant under the fence that the entry named, the target owns the hash slot in the
 * current view, and the target has answered a grant or probe within {@link
 * io.coltsfootwheel.model.ControlTiming#TARGET_SUSPECT_MILLIS}. Usage:
 *
 * <pre>{@code
 * reducer.apply(new DispatchEvent.RequestOffered(now, request)).forEach(driver::execute);
 * }</pre>
 */
public final class DispatchReducer {
  private final InstanceId instance;
  private final String session;
  private final DispatchSettings settings;
  private final Map<TargetId, TargetDispatcher> dispatchers = new TreeMap<>();
  private final List<TargetDispatcher> closedDispatchers = new ArrayList<>();
  private final Map<String, TargetDispatcher> dispatcherByRequest = new HashMap<>();
  private long appliedIndex = -1;
  private long leaseUntilNanos;
  private boolean hasLease;
  private boolean shuttingDown;

  /**
   * Creates a reducer without a view and a lease; it refuses requests until it has both.
   *
   * @param instance this instance
   * @param session id of this process; grants held by another session are ignored
   * @param settings limits
   */
  public DispatchReducer(InstanceId instance, String session, DispatchSettings settings) {
    this.instance = instance;
    this.session = session;
    this.settings = settings;
  }

  /**
   * Applies an event.
   *
   * @param event the event
   * @return effects that the driver executes in this order
   */
  public List<DispatchEffect> apply(DispatchEvent event) {
    List<DispatchEffect> out = new ArrayList<>(2);
    if (event instanceof DispatchEvent.RequestOffered offered) {
      offered(offered, out);
    } else if (event instanceof DispatchEvent.TargetReplied replied) {
      replied(replied, out);
    } else if (event instanceof DispatchEvent.RequestCancelled cancelled) {
      TargetDispatcher dispatcher = dispatcherByRequest.get(cancelled.requestId());
      if (dispatcher != null) {
        dispatcher.cancelled(cancelled.nowNanos(), cancelled.requestId(), out);
      }
    } else if (event instanceof DispatchEvent.Tick tick) {
      tick(tick.nowNanos(), out);
    } else if (event instanceof DispatchEvent.LeaseExtended extended) {
      leaseExtended(extended);
    } else if (event instanceof DispatchEvent.ViewChanged changed) {
      viewChanged(changed, out);
    } else if (event instanceof DispatchEvent.ShutdownRequested shutdown) {
      shuttingDown = true;
      dispatchers.values().forEach(TargetDispatcher::shutdown);
      tick(shutdown.nowNanos(), out);
    } else {
      applyGrantOrProbeResult(event, out);
    }
    return out;
  }

  /**
   * Returns the reports for the next lease renewal and starts a new report interval. A target that
   * is reported as released is sent nothing under this grant until the view shows it as lost.
   *
   * @param nowNanos time of the call
   * @return one report for each target that this instance dispatches to. After {@link
   *     DispatchEvent.ShutdownRequested}, targets without remaining work are left out, so an empty
   *     list means that the instance may leave the fleet
   */
  public List<TargetReport> reports(long nowNanos) {
    List<TargetReport> reports = new ArrayList<>();
    dispatchers.values().forEach(dispatcher -> dispatcher.report(nowNanos).ifPresent(reports::add));
    return reports;
  }

  /**
   * Returns the load of a target, which entries use as a hint for their choice of targets.
   *
   * @param target a target
   * @return requests in flight and queued, 0 when this instance does not dispatch to it
   */
  public int loadOf(TargetId target) {
    TargetDispatcher dispatcher = dispatchers.get(target);
    return dispatcher == null ? 0 : dispatcher.load();
  }

  /**
   * Tells whether no request is queued or in flight at a target.
   *
   * @return true when no entry waits for this instance
   */
  public boolean isIdle() {
    return dispatchers.values().stream().allMatch(TargetDispatcher::isIdle)
        && closedDispatchers.stream().allMatch(TargetDispatcher::isIdle);
  }

  private void offered(DispatchEvent.RequestOffered event, List<DispatchEffect> out) {
    DispatchRequest request = event.request();
    if (dispatcherByRequest.containsKey(request.requestId())) {
      return; // A request that is delivered twice gets the outcome of the first delivery.
    }
    TargetDispatcher dispatcher = dispatchers.get(request.target());
    if (dispatcher == null) {
      ErrorKind kind = shuttingDown ? ErrorKind.SHUTTING_DOWN : ErrorKind.STALE_FENCE;
      String detail = "this instance does not dispatch to " + request.target();
      out.add(new DispatchEffect.RefuseRequest(request.requestId(), kind, 0, detail));
      return;
    }
    dispatcher.offered(event.nowNanos(), effectiveLeaseUntilNanos(event.nowNanos()), request, out);
  }

  private void replied(DispatchEvent.TargetReplied event, List<DispatchEffect> out) {
    TargetDispatcher dispatcher = dispatcherByRequest.get(event.requestId());
    if (dispatcher != null) {
      long effectiveLeaseUntilNanos = effectiveLeaseUntilNanos(event.nowNanos());
      dispatcher.replied(
          event.nowNanos(), effectiveLeaseUntilNanos, event.requestId(), event.reply(), out);
    }
  }

  private void leaseExtended(DispatchEvent.LeaseExtended event) {
    if (!hasLease || event.leaseUntilNanos() - leaseUntilNanos > 0) {
      leaseUntilNanos = event.leaseUntilNanos();
      hasLease = true;
    }
  }

  private long effectiveLeaseUntilNanos(long nowNanos) {
    return hasLease ? leaseUntilNanos : nowNanos;
  }

  private void tick(long nowNanos, List<DispatchEffect> out) {
    dispatchers
        .values()
        .forEach(dispatcher -> dispatcher.tick(nowNanos, effectiveLeaseUntilNanos(nowNanos), out));
    closedDispatchers.forEach(
        dispatcher -> dispatcher.tick(nowNanos, effectiveLeaseUntilNanos(nowNanos), out));
    if (closedDispatchers.removeIf(TargetDispatcher::hasNoneInFlight)) {
      dispatcherByRequest
          .values()
          .removeIf(
              dispatcher ->
                  !closedDispatchers.contains(dispatcher)
                      && !dispatchers.containsValue(dispatcher));
    }
  }

  private void viewChanged(DispatchEvent.ViewChanged event, List<DispatchEffect> out) {
    RoutingView view = event.view();
    if (view.appliedIndex() < appliedIndex) {
      return;
    }
    appliedIndex = view.appliedIndex();
    Set<TargetId> heldTargets = new HashSet<>();
    for (ServiceName name : event.services()) {
      Optional<ServiceSpec> service = view.service(name);
      for (TargetEntry entry : view.targetsOf(name)) {
        if (service.isPresent() && isGrantHeldHere(entry)) {
          heldTargets.add(entry.spec().id());
          updateDispatcher(event.nowNanos(), view, service.get(), entry, out);
        }
      }
    }
    for (TargetId target : List.copyOf(dispatchers.keySet())) {
      if (!heldTargets.contains(target)) {
        close(target, out);
      }
    }
  }

  private boolean isGrantHeldHere(TargetEntry entry) {
    return entry
        .grant()
        .filter(grant -> grant.holder().equals(instance) && grant.session().equals(session))
        .isPresent();
  }

  private void updateDispatcher(
      long nowNanos,
      RoutingView view,
      ServiceSpec service,
      TargetEntry entry,
      List<DispatchEffect> out) {
    TargetId target = entry.spec().id();
    TargetDispatcher dispatcher = dispatchers.get(target);
    if (dispatcher != null && !dispatcher.fence().equals(entry.grant().orElseThrow().fence())) {
      close(target, out);
      dispatcher = null;
    }
    if (dispatcher == null) {
      dispatcher = new TargetDispatcher(nowNanos, settings, service, entry, dispatcherByRequest);
      if (shuttingDown) {
        dispatcher.shutdown();
      }
      dispatchers.put(target, dispatcher);
    }
    dispatcher.viewChanged(nowNanos, effectiveLeaseUntilNanos(nowNanos), view, entry, out);
  }

  private void close(TargetId target, List<DispatchEffect> out) {
    TargetDispatcher dispatcher = dispatchers.remove(target);
    dispatcher.close(out);
    closedDispatchers.add(dispatcher);
  }

  private void applyGrantOrProbeResult(DispatchEvent event, List<DispatchEffect> out) {
    if (event instanceof DispatchEvent.GrantAnswered answered) {
      TargetDispatcher dispatcher = dispatchers.get(answered.target());
      if (dispatcher != null) {
        long nowNanos = answered.nowNanos();
        dispatcher.grantAnswered(nowNanos, effectiveLeaseUntilNanos(nowNanos), answered, out);
      }
    } else if (event instanceof DispatchEvent.ProbeAnswered answered) {
      TargetDispatcher dispatcher = dispatchers.get(answered.target());
      if (dispatcher != null) {
        long nowNanos = answered.nowNanos();
        dispatcher.probeAnswered(nowNanos, effectiveLeaseUntilNanos(nowNanos), out);
      }
    } else if (event instanceof DispatchEvent.GrantRejected rejected) {
      Optional.ofNullable(dispatchers.get(rejected.target()))
          .ifPresent(dispatcher -> dispatcher.grantRejected(rejected.newerFence(), out));
    } else if (event instanceof DispatchEvent.GrantFailed failed) {
      Optional.ofNullable(dispatchers.get(failed.target()))
          .ifPresent(TargetDispatcher::grantOrProbeFailed);
    } else if (event instanceof DispatchEvent.ProbeFailed failed) {
      Optional.ofNullable(dispatchers.get(failed.target()))
          .ifPresent(TargetDispatcher::grantOrProbeFailed);
    }
  }
}
