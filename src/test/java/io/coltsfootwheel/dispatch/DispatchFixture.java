package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetReport;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** A reducer that dispatches to target t1, which has 2 slots and owns hash slots 0 to 2. */
final class DispatchFixture {
  static final InstanceId SELF = InstanceId.of("entry-1");
  static final TargetId TARGET = TargetId.of("t1");

  final FakeControl control = new FakeControl();
  final DispatchReducer reducer;
  final List<DispatchEffect> effects = new ArrayList<>();
  Fence fence;
  long nowMillis = 1_000;

  DispatchFixture(boolean checksFences) {
    this(checksFences, DispatchSettings.defaults());
  }

  DispatchFixture(boolean checksFences, DispatchSettings settings) {
    reducer = new DispatchReducer(SELF, FakeControl.SESSION, settings);
    control.putTarget(FakeControl.spec("t1", FakeControl.KEYED, 2, checksFences, "plateau"));
    fence = control.grant("t1", SELF);
    for (int slot = 0; slot < 3; slot++) {
      control.setOwner(slot, "t1");
    }
    apply(new DispatchEvent.LeaseExtended(nowNanos(), nowNanos() + millisToNanos(400)));
    viewChanged();
  }

  static long millisToNanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  long nowNanos() {
    return millisToNanos(nowMillis);
  }

  List<DispatchEffect> apply(DispatchEvent event) {
    List<DispatchEffect> out = reducer.apply(event);
    effects.addAll(out);
    return out;
  }

  void viewChanged() {
    apply(control.viewChanged(nowNanos()));
  }

  /**
   * Advances the time in ticks of 10 ms, with a valid lease. The target answers grants and probes
   * if {@code targetAnswers} is true.
   */
  void advance(long advanceMillis, boolean targetAnswers) {
    for (long end = nowMillis + advanceMillis; nowMillis < end; ) {
      nowMillis += Math.min(10, end - nowMillis);
      apply(new DispatchEvent.LeaseExtended(nowNanos(), nowNanos() + millisToNanos(400)));
      List<DispatchEffect> out = apply(new DispatchEvent.Tick(nowNanos()));
      if (targetAnswers) {
        answerGrantsAndProbes(out);
      }
    }
  }

  void answerGrantsAndProbes(List<DispatchEffect> sent) {
    for (DispatchEffect effect : sent) {
      if (effect instanceof DispatchEffect.SendGrant grant) {
        answerGrantsAndProbes(
            apply(
                new DispatchEvent.GrantAnswered(
                    nowNanos(), TARGET, grant.fence(), 0, 0, nowMillis)));
      } else if (effect instanceof DispatchEffect.SendProbe) {
        apply(new DispatchEvent.ProbeAnswered(nowNanos(), TARGET));
      }
    }
  }

  /** Answers the first grant or probe, and completes requests until both slots are used. */
  DispatchFixture warmUp() {
    answerGrantsAndProbes(List.copyOf(effects));
    for (int i = 0; i < 4; i++) {
      offer("warm" + i, 0, 5_000);
      nowMillis += 10;
      reply("warm" + i, new TargetReply.Completed(200));
    }
    effects.clear();
    return this;
  }

  List<DispatchEffect> offer(String id, int slot, long deadlineMillis) {
    return offer(request(id, slot, deadlineMillis, Optional.empty(), Optional.empty()));
  }

  List<DispatchEffect> offer(DispatchRequest request) {
    return apply(new DispatchEvent.RequestOffered(nowNanos(), request));
  }

  DispatchRequest request(
      String id,
      int slot,
      long deadlineMillis,
      Optional<String> customer,
      Optional<RequestIdentity> identity) {
    ServiceName service = FakeControl.KEYED;
    return new DispatchRequest(
        id,
        service,
        TARGET,
        OptionalInt.of(slot),
        customer.map(CustomerId::of),
        false,
        identity,
        nowNanos() + millisToNanos(deadlineMillis),
        fence,
        0);
  }

  static RequestIdentity stamped(String value, long stamp) {
    return new RequestIdentity(value, OptionalLong.of(stamp));
  }

  List<DispatchEffect> reply(String id, TargetReply reply) {
    return apply(new DispatchEvent.TargetReplied(nowNanos(), id, reply));
  }

  TargetReport report() {
    return reducer.reports(nowNanos()).get(0);
  }

  TargetCondition condition() {
    return report().condition();
  }

  List<String> sent() {
    return effects.stream()
        .filter(DispatchEffect.SendToTarget.class::isInstance)
        .map(effect -> ((DispatchEffect.SendToTarget) effect).requestId())
        .toList();
  }

  long grantsSent() {
    return effects.stream().filter(DispatchEffect.SendGrant.class::isInstance).count();
  }

  /** Returns the error kind with which a request was refused, if it was. */
  Optional<ErrorKind> refused(String id) {
    return effects.stream()
        .filter(DispatchEffect.RefuseRequest.class::isInstance)
        .map(DispatchEffect.RefuseRequest.class::cast)
        .filter(effect -> effect.requestId().equals(id))
        .map(DispatchEffect.RefuseRequest::kind)
        .findFirst();
  }
}
