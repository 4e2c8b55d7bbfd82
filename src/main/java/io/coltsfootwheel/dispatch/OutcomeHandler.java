package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.TargetNotices;
import io.coltsfootwheel.model.TargetSpec;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Handles replies, broken connections and deadlines of the requests that one dispatcher has sent:
 * refuses requests that failed, and updates the identity records and the concurrency limit.
 */
final class OutcomeHandler {
  private final InFlightRequests inFlightRequests;
  private final IdentityTable identities;
  private final Map<String, TargetDispatcher> dispatcherByRequest;
  private TargetSpec spec;

  OutcomeHandler(
      TargetSpec spec,
      InFlightRequests inFlightRequests,
      IdentityTable identities,
      Map<String, TargetDispatcher> dispatcherByRequest) {
    this.spec = spec;
    this.inFlightRequests = inFlightRequests;
    this.identities = identities;
    this.dispatcherByRequest = dispatcherByRequest;
  }

  void specChanged(TargetSpec newSpec) {
    spec = newSpec;
  }

  void incarnationEnded(long sentBeforeNanos) {
    inFlightRequests
        .resolveEndedIncarnation(sentBeforeNanos)
        .forEach(sent -> dispatcherByRequest.remove(sent.request.requestId()));
  }

  /** Removes a request that was accepted but never sent to the target. */
  void removeNotRun(DispatchRequest request) {
    dispatcherByRequest.remove(request.requestId());
    recordedIdentity(request).ifPresent(identities::remove);
  }

  void replied(
      long nowNanos,
      String requestId,
      TargetReply reply,
      ConcurrencyLimit limit,
      TargetNotices notices,
      List<DispatchEffect> out) {
    if (reply instanceof TargetReply.Broken) {
      inFlightRequests
          .findInFlight(requestId)
          .ifPresent(sent -> handleBrokenConnection(nowNanos, sent, out));
    } else {
      inFlightRequests
          .resolve(requestId)
          .ifPresent(sent -> handleReply(nowNanos, sent, reply, limit, notices, out));
    }
  }

  /**
   * Refuses requests whose deadline has passed, and frees the slots of requests whose grace time
   * has passed.
   */
  void expire(long nowNanos, List<DispatchEffect> out) {
    for (InFlightRequests.Sent sent : inFlightRequests.inFlight()) {
      if (!sent.callerAnswered && nowNanos - sent.request.deadlineNanos() >= 0) {
        refuseWithUnknownOutcome(
            nowNanos,
            sent,
            ErrorKind.DEADLINE_EXCEEDED,
            "the deadline passed before the target replied",
            out);
        out.add(new DispatchEffect.SendCancel(spec.id(), sent.request.requestId()));
      }
    }
    for (InFlightRequests.Sent sent : inFlightRequests.moveOverdue(nowNanos)) {
      recordedIdentity(sent.request)
          .ifPresent(
              identity ->
                  identities.recordUnknown(nowNanos, identity, ErrorKind.DEADLINE_EXCEEDED));
      if (sent.connectionBroken) {
        dispatcherByRequest.remove(sent.request.requestId());
      }
    }
  }

  private void handleReply(
      long nowNanos,
      InFlightRequests.Sent sent,
      TargetReply reply,
      ConcurrencyLimit limit,
      TargetNotices notices,
      List<DispatchEffect> out) {
    DispatchRequest request = sent.request;
    dispatcherByRequest.remove(request.requestId());
    if (reply instanceof TargetReply.Completed completed) {
      limit.recordReply(nowNanos - sent.sentNanos);
      recordedIdentity(request)
          .ifPresent(
              identity -> identities.recordCompleted(nowNanos, identity, completed.status()));
      return;
    }
    recordedIdentity(request).ifPresent(identities::remove);
    long retryAfterMillis = 0;
    if (reply instanceof TargetReply.RefusedShedding shedding) {
      limit.startShedding(nowNanos, shedding.retryAfterMillis());
      notices.recordPause(nowNanos, shedding.retryAfterMillis());
      retryAfterMillis =
          Math.max(limit.remainingSheddingMillis(nowNanos), notices.remainingPauseMillis(nowNanos));
    }
    if (!sent.callerAnswered) {
      out.add(refusalOf(request, reply, retryAfterMillis));
    }
  }

  private static DispatchEffect refusalOf(
      DispatchRequest request, TargetReply reply, long retryAfterMillis) {
    boolean fenceRefused = reply instanceof TargetReply.RefusedFence;
    String detail =
        fenceRefused
            ? "the target refused the dispatch fence"
            : reply instanceof TargetReply.NotSent
                ? "no connection to the target"
                : "the target is shedding load";
    ErrorKind kind = fenceRefused ? ErrorKind.STALE_FENCE : ErrorKind.TARGET_REFUSED;
    return new DispatchEffect.RefuseRequest(request.requestId(), kind, retryAfterMillis, detail);
  }

  /**
   * The target may still execute the request, so it occupies its slot until the grace time ends.
   */
  private void handleBrokenConnection(
      long nowNanos, InFlightRequests.Sent sent, List<DispatchEffect> out) {
    sent.connectionBroken = true;
    if (!sent.callerAnswered) {
      String detail = "the connection to the target broke";
      refuseWithUnknownOutcome(nowNanos, sent, ErrorKind.TARGET_FAILED, detail, out);
    }
  }

  private void refuseWithUnknownOutcome(
      long nowNanos,
      InFlightRequests.Sent sent,
      ErrorKind kind,
      String detail,
      List<DispatchEffect> out) {
    sent.callerAnswered = true;
    recordedIdentity(sent.request)
        .ifPresent(identity -> identities.recordUnknown(nowNanos, identity, kind));
    out.add(new DispatchEffect.RefuseRequest(sent.request.requestId(), kind, 0, detail));
  }

  private Optional<RequestIdentity> recordedIdentity(DispatchRequest request) {
    return spec.keepsIdentities() ? Optional.empty() : request.identity();
  }
}
