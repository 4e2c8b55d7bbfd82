package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.dispatch.DispatchEffect;
import io.coltsfootwheel.dispatch.DispatchEvent;
import io.coltsfootwheel.dispatch.DispatchReducer;
import io.coltsfootwheel.dispatch.DispatchSettings;
import io.coltsfootwheel.dispatch.EntryEffect;
import io.coltsfootwheel.dispatch.EntryEvent;
import io.coltsfootwheel.dispatch.EntryRouter;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetReport;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Entry router and dispatchers of one instance.
 *
 * <p>Requests, refusals and admission tokens whose sender and receiver are both this instance are
 * passed on directly, without a link.
 */
final class RequestReducer {
  /**
   * Number of ended sessions whose requests are still followed; the oldest is dropped first. A
   * request lasts at most 60 s, and an expired session takes over 400 ms to be replaced.
   */
  private static final int MAX_ENDED_SESSIONS = 8;

  private final InstanceId self;
  private final DispatchSettings settings;
  private final EntryRouter entryRouter;

  /** Identifiers of the requests that this entry has forwarded to its own dispatchers. */
  private final Set<String> localRequests = new HashSet<>();

  private final List<DispatchReducer> endedSessions = new ArrayList<>();
  private DispatchReducer dispatchReducer;

  RequestReducer(
      InstanceId self, String session, DispatchSettings settings, EntryRouter entryRouter) {
    this.self = self;
    this.settings = settings;
    this.entryRouter = entryRouter;
    this.dispatchReducer = new DispatchReducer(self, session, settings);
  }

  /**
   * Begins a new session without dispatch grants. Events of requests that were sent under the ended
   * session are still applied to its dispatchers.
   *
   * @param session the new session
   */
  void beginSession(String session) {
    endedSessions.add(dispatchReducer);
    if (endedSessions.size() > MAX_ENDED_SESSIONS) {
      endedSessions.remove(0);
    }
    dispatchReducer = new DispatchReducer(self, session, settings);
  }

  /**
   * Returns the reports for a lease renewal.
   *
   * @param nowNanos monotonic time
   * @return one report for each target that this instance dispatches to
   */
  List<TargetReport> reports(long nowNanos) {
    return dispatchReducer.reports(nowNanos);
  }

  /**
   * Tells whether the dispatchers of all sessions have neither queued requests nor requests in
   * flight.
   *
   * @return true when no entry waits for a dispatcher of this instance
   */
  boolean isIdle() {
    return dispatchReducer.isIdle() && endedSessions.stream().allMatch(DispatchReducer::isIdle);
  }

  /**
   * Applies a newer control state to the dispatchers and the entry router.
   *
   * @param nowNanos monotonic time
   * @param state the control state
   * @return the effects
   */
  List<InstanceEffect> applyState(long nowNanos, ControlState state) {
    List<InstanceEffect> effects = new ArrayList<>();
    applyDispatch(new DispatchEvent.ViewChanged(nowNanos, state, serviceNames(state)), effects);
    applyEntry(new EntryEvent.ViewChanged(nowNanos, state), effects);
    return effects;
  }

  /**
   * Checks the timers of queues, deadlines and token buckets.
   *
   * @param nowNanos monotonic time
   * @return the effects
   */
  List<InstanceEffect> tick(long nowNanos) {
    List<InstanceEffect> effects = new ArrayList<>();
    applyDispatch(new DispatchEvent.Tick(nowNanos), effects);
    applyEntry(new EntryEvent.Tick(nowNanos), effects);
    return effects;
  }

  /**
   * Applies an event of the dispatchers.
   *
   * @param event the event
   * @return the effects
   */
  List<InstanceEffect> apply(DispatchEvent event) {
    List<InstanceEffect> effects = new ArrayList<>();
    applyDispatch(event, effects);
    return effects;
  }

  /**
   * Applies an event of the entry router.
   *
   * @param event the event
   * @return the effects
   */
  List<InstanceEffect> apply(EntryEvent event) {
    List<InstanceEffect> effects = new ArrayList<>();
    if (event instanceof EntryEvent.ResponseEnded response) {
      localRequests.remove(response.requestId());
    }
    applyEntry(event, effects);
    return effects;
  }

  private static Set<ServiceName> serviceNames(ControlState state) {
    return state.services().stream().map(ServiceSpec::name).collect(Collectors.toSet());
  }

  private void applyDispatch(DispatchEvent event, List<InstanceEffect> effects) {
    if (concernsEndedSessions(event)) {
      for (DispatchReducer reducer : endedSessions) {
        execute(event.nowNanos(), reducer.apply(event), effects);
      }
    }
    execute(event.nowNanos(), dispatchReducer.apply(event), effects);
  }

  private static boolean concernsEndedSessions(DispatchEvent event) {
    return event instanceof DispatchEvent.TargetReplied
        || event instanceof DispatchEvent.RequestCancelled
        || event instanceof DispatchEvent.Tick;
  }

  private void execute(
      long nowNanos, List<DispatchEffect> decisions, List<InstanceEffect> effects) {
    for (DispatchEffect effect : decisions) {
      if (effect instanceof DispatchEffect.RefuseRequest refusal
          && localRequests.remove(refusal.requestId())) {
        effects.add(new InstanceEffect.Dispatch(effect));
        applyEntry(
            new EntryEvent.AttemptRefused(
                nowNanos,
                refusal.requestId(),
                refusal.kind(),
                refusal.retryAfterMillis(),
                refusal.detail()),
            effects);
      } else {
        effects.add(new InstanceEffect.Dispatch(effect));
      }
    }
  }

  private void applyEntry(EntryEvent event, List<InstanceEffect> effects) {
    for (EntryEffect effect : entryRouter.apply(event)) {
      execute(event.nowNanos(), effect, effects);
    }
  }

  private void execute(long nowNanos, EntryEffect effect, List<InstanceEffect> effects) {
    if (effect instanceof EntryEffect.Forward forward && forward.instance().equals(self)) {
      localRequests.add(forward.request().requestId());
      effects.add(new InstanceEffect.Entry(effect));
      applyDispatch(new DispatchEvent.RequestOffered(nowNanos, forward.request()), effects);
    } else if (effect instanceof EntryEffect.CancelForward cancel
        && cancel.instance().equals(self)) {
      localRequests.remove(cancel.requestId());
      applyDispatch(new DispatchEvent.RequestCancelled(nowNanos, cancel.requestId()), effects);
      effects.add(new InstanceEffect.Entry(effect));
    } else if (effect instanceof EntryEffect.RequestTokens request) {
      requestTokens(nowNanos, request, effects);
    } else if (effect instanceof EntryEffect.GrantTokens grant) {
      grantTokens(nowNanos, grant, effects);
    } else {
      effects.add(new InstanceEffect.Entry(effect));
    }
  }

  private void requestTokens(
      long nowNanos, EntryEffect.RequestTokens request, List<InstanceEffect> effects) {
    if (request.coordinator().equals(self)) {
      applyEntry(
          new EntryEvent.TokensRequested(
              nowNanos, self, request.customer(), request.tokens(), request.permits()),
          effects);
    } else {
      effects.add(
          new InstanceEffect.SendMessage(
              request.coordinator(),
              new ControlMessage.TokensRequested(
                  request.customer(), request.tokens(), request.permits())));
    }
  }

  private void grantTokens(
      long nowNanos, EntryEffect.GrantTokens grant, List<InstanceEffect> effects) {
    if (grant.entry().equals(self)) {
      applyEntry(
          new EntryEvent.TokensGranted(nowNanos, grant.customer(), grant.tokens(), grant.permits()),
          effects);
    } else {
      effects.add(
          new InstanceEffect.SendMessage(
              grant.entry(),
              new ControlMessage.TokensGranted(grant.customer(), grant.tokens(), grant.permits())));
    }
  }
}
