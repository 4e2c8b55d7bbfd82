package io.coltsfootwheel.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class HandoverAfterTakeoverTest {
  /**
   * Guards against hash slots that no request reaches until an operator acts: a dispatcher that
   * took over a target without fence checks cannot release them, so it must go on to serve them.
   */
  @Test
  void servesASlotInHandoverThatItCannotRelease() {
    DispatchFixture f = new DispatchFixture(false).warm();
    f.fence = f.control.grant("t1", DispatchFixture.ME);
    f.control.handover(1, "t2");
    f.viewChanged();
    f.pass(1_500, true);

    f.offer("during", 1, 5_000);

    assertThat(f.report().releasedSlots()).isEmpty();
    assertThat(f.sent()).containsExactly("during");
    f.reply("during", new TargetReply.Completed(200));
    f.control.incarnation("t1", "i2");
    f.viewChanged();
    f.pass(500, true);
    f.offer("after", 1, 5_000);
    assertThat(f.sent()).containsExactly("during");
    assertThat(f.report().releasedSlots()).containsExactly(1);
  }
}
