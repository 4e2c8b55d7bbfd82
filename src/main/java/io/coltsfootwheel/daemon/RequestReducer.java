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
 * Entry side and dispatchers of one instance; passes requests between them when both ends are here.
 */
final class RequestReducer {
  /** A request lives 60 s at most, and a session that expires takes over 400 ms to be replaced. */
  private static final int MAX_ENDED_SESSIONS = 8;

  private final InstanceId self;
  private final DispatchSettings settings;
  private final EntryRouter entry;
  private final Set<String> localRequests = new HashSet<>();
  private final List<DispatchReducer> ended = new ArrayList<>();
  private DispatchReducer dispatch;

  RequestReducer(InstanceId self, String session, DispatchSettings settings, EntryRouter entry) {
    this.self = self;
    this.settings = settings;
    this.entry = entry;
    this.dispatch = new DispatchReducer(self, session, settings);
  }

  /**
   * Starts with no grants under a new session; requests of the ended one are still followed.
   *
   * @param session the new session
   */
  void beginSession(String session) {
    ended.add(dispatch);
    if (ended.size() > MAX_ENDED_SESSIONS) {
      ended.remove(0);
    }
    dispatch = new DispatchReducer(self, session, settings);
  }

  /**
   * Returns the reports for a lease renewal.
   *
   * @param nowNanos monotonic time
   * @return one report for each target that this instance dispatches to
   */
  List<TargetReport> reports(long nowNanos) {
    return dispatch.reports(nowNanos);
  }

  /**
   * Routes under a newer view.
   *
   * @param nowNanos monotonic time
   * @param state the control state
   * @return the effects
   */
  List<InstanceEffect> changeView(long nowNanos, ControlState state) {
    List<InstanceEffect> effects = new ArrayList<>();
    dispatch(new DispatchEvent.ViewChanged(nowNanos, state, services(state)), effects);
    entry(new EntryEvent.ViewChanged(nowNanos, state), effects);
    return effects;
  }

  /**
   * Advances queues, deadlines and token buckets.
   *
   * @param nowNanos monotonic time
   * @return the effects
   */
  List<InstanceEffect> tick(long nowNanos) {
    List<InstanceEffect> effects = new ArrayList<>();
    dispatch(new DispatchEvent.Tick(nowNanos), effects);
    entry(new EntryEvent.Tick(nowNanos), effects);
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
    dispatch(event, effects);
    return effects;
  }

  /**
   * Applies an event of the entry side.
   *
   * @param event the event
   * @return the effects
   */
  List<InstanceEffect> apply(EntryEvent event) {
    List<InstanceEffect> effects = new ArrayList<>();
    if (event instanceof EntryEvent.ResponseEnded response) {
      localRequests.remove(response.requestId());
    }
    entry(event, effects);
    return effects;
  }

  private static Set<ServiceName> services(ControlState state) {
    return state.services().stream().map(ServiceSpec::name).collect(Collectors.toSet());
  }

  private void dispatch(DispatchEvent event, List<InstanceEffect> effects) {
    if (concernsEndedSessions(event)) {
      for (DispatchReducer reducer : ended) {
        execute(event.nowNanos(), reducer.apply(event), effects);
      }
    }
    execute(event.nowNanos(), dispatch.apply(event), effects);
  }

  private static boolean concernsEndedSessions(DispatchEvent event) {
    return event instanceof DispatchEvent.TargetReplied
        || event instanceof DispatchEvent.RequestCancelled
        || event instanceof DispatchEvent.Tick;
  }

  private void execute(long nowNanos, List<DispatchEffect> decided, List<InstanceEffect> effects) {
    for (DispatchEffect effect : decided) {
      if (effect instanceof DispatchEffect.RefuseRequest refusal
          && localRequests.remove(refusal.requestId())) {
        effects.add(new InstanceEffect.Dispatch(effect));
        entry(
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

  private void entry(EntryEvent event, List<InstanceEffect> effects) {
    for (EntryEffect effect : entry.apply(event)) {
      execute(event.nowNanos(), effect, effects);
    }
  }

  private void execute(long nowNanos, EntryEffect effect, List<InstanceEffect> effects) {
    if (effect instanceof EntryEffect.Forward forward && forward.instance().equals(self)) {
      localRequests.add(forward.request().requestId());
      effects.add(new InstanceEffect.Entry(effect));
      dispatch(new DispatchEvent.RequestOffered(nowNanos, forward.request()), effects);
    } else if (effect instanceof EntryEffect.CancelForward cancel
        && cancel.instance().equals(self)) {
      localRequests.remove(cancel.requestId());
      dispatch(new DispatchEvent.RequestCancelled(nowNanos, cancel.requestId()), effects);
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
      entry(
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
      entry(
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
