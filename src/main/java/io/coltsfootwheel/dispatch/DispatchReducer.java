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
 * <p>It sends to a target only while the instance lease is valid, the grant is held under the fence
 * that the entry named, the target owns the hash slot in the applied view and has answered a grant
 * or probe within the suspect time. Usage:
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
  private final List<TargetDispatcher> closed = new ArrayList<>();
  private final Map<String, TargetDispatcher> requests = new HashMap<>();
  private long appliedIndex = -1;
  private long leaseUntilNanos;
  private boolean hasLease;
  private boolean shuttingDown;

  /**
   * Creates a reducer without view and lease; it refuses requests until it has both.
   *
   * @param instance this instance
   * @param session session of its process
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
   * @return what the driver has to do, in order
   */
  public List<DispatchEffect> apply(DispatchEvent event) {
    List<DispatchEffect> out = new ArrayList<>(2);
    if (event instanceof DispatchEvent.RequestOffered offered) {
      offered(offered, out);
    } else if (event instanceof DispatchEvent.TargetReplied replied) {
      replied(replied, out);
    } else if (event instanceof DispatchEvent.RequestCancelled cancelled) {
      TargetDispatcher dispatcher = requests.get(cancelled.requestId());
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
      applyContact(event, out);
    }
    return out;
  }

  /**
   * Returns the reports for the next renewal and starts a new report interval. A target that is
   * reported as released gets nothing more under this grant until the view shows it as lost.
   *
   * @param nowNanos time of the call
   * @return one report per target that is dispatched to; none for targets with ended work after
   *     {@link DispatchEvent.ShutdownRequested}, so an empty list means that the instance may leave
   */
  public List<TargetReport> reports(long nowNanos) {
    List<TargetReport> reports = new ArrayList<>();
    dispatchers.values().forEach(d -> d.report(nowNanos).ifPresent(reports::add));
    return reports;
  }

  /**
   * Returns the load of a target as a hint for entries, sent with each response.
   *
   * @param target a target
   * @return requests in flight and queued, 0 when this instance does not dispatch to it
   */
  public int loadOf(TargetId target) {
    TargetDispatcher dispatcher = dispatchers.get(target);
    return dispatcher == null ? 0 : dispatcher.load();
  }

  private void offered(DispatchEvent.RequestOffered event, List<DispatchEffect> out) {
    DispatchRequest request = event.request();
    if (requests.containsKey(request.requestId())) {
      return; // The outcome of the first offer serves a repeated one.
    }
    TargetDispatcher dispatcher = dispatchers.get(request.target());
    if (dispatcher == null) {
      ErrorKind kind = shuttingDown ? ErrorKind.SHUTTING_DOWN : ErrorKind.STALE_FENCE;
      String detail = "this instance does not dispatch to " + request.target();
      out.add(new DispatchEffect.RefuseRequest(request.requestId(), kind, 0, detail));
      return;
    }
    dispatcher.offered(event.nowNanos(), leaseNanos(event.nowNanos()), request, out);
  }

  private void replied(DispatchEvent.TargetReplied event, List<DispatchEffect> out) {
    TargetDispatcher dispatcher = requests.get(event.requestId());
    if (dispatcher != null) {
      long leaseNanos = leaseNanos(event.nowNanos());
      dispatcher.replied(event.nowNanos(), leaseNanos, event.requestId(), event.reply(), out);
    }
  }

  private void leaseExtended(DispatchEvent.LeaseExtended event) {
    if (!hasLease || event.leaseUntilNanos() - leaseUntilNanos > 0) {
      leaseUntilNanos = event.leaseUntilNanos();
      hasLease = true;
    }
  }

  private long leaseNanos(long nowNanos) {
    return hasLease ? leaseUntilNanos : nowNanos;
  }

  private void tick(long nowNanos, List<DispatchEffect> out) {
    dispatchers.values().forEach(d -> d.tick(nowNanos, leaseNanos(nowNanos), out));
    closed.forEach(d -> d.tick(nowNanos, leaseNanos(nowNanos), out));
    if (closed.removeIf(TargetDispatcher::isSettled)) {
      requests.values().removeIf(d -> !closed.contains(d) && !dispatchers.containsValue(d));
    }
  }

  private void viewChanged(DispatchEvent.ViewChanged event, List<DispatchEffect> out) {
    RoutingView view = event.view();
    if (view.appliedIndex() < appliedIndex) {
      return;
    }
    appliedIndex = view.appliedIndex();
    Set<TargetId> held = new HashSet<>();
    for (ServiceName name : event.services()) {
      Optional<ServiceSpec> service = view.service(name);
      for (TargetEntry entry : view.targetsOf(name)) {
        if (service.isPresent() && isHeld(entry)) {
          held.add(entry.spec().id());
          held(event.nowNanos(), view, service.get(), entry, out);
        }
      }
    }
    for (TargetId target : List.copyOf(dispatchers.keySet())) {
      if (!held.contains(target)) {
        close(target, out);
      }
    }
  }

  private boolean isHeld(TargetEntry entry) {
    return entry
        .grant()
        .filter(g -> g.holder().equals(instance) && g.session().equals(session))
        .isPresent();
  }

  private void held(
      long nowNanos,
      RoutingView view,
      ServiceSpec service,
      TargetEntry entry,
      List<DispatchEffect> out) {
    TargetId target = entry.spec().id();
    TargetDispatcher present = dispatchers.get(target);
    if (present != null && !present.fence().equals(entry.grant().orElseThrow().fence())) {
      close(target, out);
      present = null;
    }
    if (present == null) {
      present = new TargetDispatcher(nowNanos, settings, service, entry, requests);
      if (shuttingDown) {
        present.shutdown();
      }
      dispatchers.put(target, present);
    }
    present.viewChanged(nowNanos, leaseNanos(nowNanos), view, entry, out);
  }

  private void close(TargetId target, List<DispatchEffect> out) {
    TargetDispatcher dispatcher = dispatchers.remove(target);
    dispatcher.close(out);
    closed.add(dispatcher);
  }

  private void applyContact(DispatchEvent event, List<DispatchEffect> out) {
    if (event instanceof DispatchEvent.GrantAnswered answered) {
      TargetDispatcher dispatcher = dispatchers.get(answered.target());
      if (dispatcher != null) {
        long now = answered.nowNanos();
        dispatcher.grantAnswered(now, leaseNanos(now), answered, out);
      }
    } else if (event instanceof DispatchEvent.ProbeAnswered answered) {
      TargetDispatcher dispatcher = dispatchers.get(answered.target());
      if (dispatcher != null) {
        long now = answered.nowNanos();
        dispatcher.probeAnswered(now, leaseNanos(now), out);
      }
    } else if (event instanceof DispatchEvent.GrantRejected rejected) {
      Optional.ofNullable(dispatchers.get(rejected.target()))
          .ifPresent(d -> d.grantRejected(rejected.newer(), out));
    } else if (event instanceof DispatchEvent.GrantFailed failed) {
      Optional.ofNullable(dispatchers.get(failed.target()))
          .ifPresent(TargetDispatcher::contactFailed);
    } else if (event instanceof DispatchEvent.ProbeFailed failed) {
      Optional.ofNullable(dispatchers.get(failed.target()))
          .ifPresent(TargetDispatcher::contactFailed);
    }
  }
}
