package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.TargetSpec;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Derives from replies, broken connections and deadlines what callers and identities are told. */
final class SendOutcomes {
  private final SendLedger ledger;
  private final IdentityTable identities;
  private final Map<String, TargetDispatcher> requests;
  private TargetSpec spec;

  SendOutcomes(
      TargetSpec spec,
      SendLedger ledger,
      IdentityTable identities,
      Map<String, TargetDispatcher> requests) {
    this.spec = spec;
    this.ledger = ledger;
    this.identities = identities;
    this.requests = requests;
  }

  void specChanged(TargetSpec newSpec) {
    spec = newSpec;
  }

  void incarnationEnded(long sentBeforeNanos) {
    ledger
        .settleEndedIncarnation(sentBeforeNanos)
        .forEach(s -> requests.remove(s.request.requestId()));
  }

  /** Drops a request that was accepted but not run. */
  void notRun(DispatchRequest request) {
    requests.remove(request.requestId());
    recorded(request).ifPresent(identities::forget);
  }

  void replied(
      long nowNanos,
      String requestId,
      TargetReply reply,
      ConcurrencyLimit limit,
      List<DispatchEffect> out) {
    if (reply instanceof TargetReply.Broken) {
      ledger.find(requestId).ifPresent(sent -> broken(nowNanos, sent, out));
    } else {
      ledger.settle(requestId).ifPresent(sent -> settled(nowNanos, sent, reply, limit, out));
    }
  }

  /** Answers requests whose deadline has passed, and gives up slots whose grace has ended. */
  void expire(long nowNanos, List<DispatchEffect> out) {
    for (SendLedger.Sent sent : ledger.all()) {
      if (!sent.answered && nowNanos - sent.request.deadlineNanos() >= 0) {
        answerUnknown(nowNanos, sent, ErrorKind.DEADLINE_EXCEEDED, "the deadline passed", out);
        out.add(new DispatchEffect.SendCancel(spec.id(), sent.request.requestId()));
      }
    }
    for (SendLedger.Sent sent : ledger.expire(nowNanos)) {
      recorded(sent.request)
          .ifPresent(i -> identities.unknown(nowNanos, i, ErrorKind.DEADLINE_EXCEEDED));
      if (sent.broken) {
        requests.remove(sent.request.requestId());
      }
    }
  }

  private void settled(
      long nowNanos,
      SendLedger.Sent sent,
      TargetReply reply,
      ConcurrencyLimit limit,
      List<DispatchEffect> out) {
    DispatchRequest request = sent.request;
    requests.remove(request.requestId());
    if (reply instanceof TargetReply.Completed completed) {
      limit.completed(nowNanos - sent.sentNanos);
      recorded(request).ifPresent(i -> identities.completed(nowNanos, i, completed.status()));
      return;
    }
    recorded(request).ifPresent(identities::forget);
    long retryAfterMillis = 0;
    if (reply instanceof TargetReply.RefusedShedding shedding) {
      limit.shed(nowNanos, shedding.retryAfterMillis());
      retryAfterMillis = limit.shedMillis(nowNanos);
    }
    if (!sent.answered) {
      out.add(refusalOf(request, reply, retryAfterMillis));
    }
  }

  private static DispatchEffect refusalOf(
      DispatchRequest request, TargetReply reply, long retryAfterMillis) {
    boolean fenced = reply instanceof TargetReply.RefusedFence;
    String detail =
        fenced
            ? "the target refused the fence"
            : reply instanceof TargetReply.NotSent
                ? "no connection to the target"
                : "the target sheds load";
    ErrorKind kind = fenced ? ErrorKind.STALE_FENCE : ErrorKind.TARGET_REFUSED;
    return new DispatchEffect.RefuseRequest(request.requestId(), kind, retryAfterMillis, detail);
  }

  /** The target may still execute the request, so it keeps its slot until the grace ends. */
  private void broken(long nowNanos, SendLedger.Sent sent, List<DispatchEffect> out) {
    sent.broken = true;
    if (!sent.answered) {
      String detail = "the connection to the target broke";
      answerUnknown(nowNanos, sent, ErrorKind.TARGET_FAILED, detail, out);
    }
  }

  private void answerUnknown(
      long nowNanos,
      SendLedger.Sent sent,
      ErrorKind kind,
      String detail,
      List<DispatchEffect> out) {
    sent.answered = true;
    recorded(sent.request).ifPresent(i -> identities.unknown(nowNanos, i, kind));
    out.add(new DispatchEffect.RefuseRequest(sent.request.requestId(), kind, 0, detail));
  }

  private Optional<RequestIdentity> recorded(DispatchRequest request) {
    return spec.keepsIdentities() ? Optional.empty() : request.identity();
  }
}
