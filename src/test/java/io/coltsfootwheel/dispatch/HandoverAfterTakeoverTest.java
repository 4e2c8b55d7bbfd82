package io.coltsfootwheel.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class HandoverAfterTakeoverTest {
  /**
   * Guards against hash slots that stay unavailable until an operator acts. A dispatcher that took
   * over a target without fence checks cannot release hash slots in handover, so it has to keep
   * sending their requests.
   */
  @Test
  void servesASlotInHandoverThatItCannotRelease() {
    DispatchFixture fixture = new DispatchFixture(false).warmUp();
    fixture.fence = fixture.control.grant("t1", DispatchFixture.SELF);
    fixture.control.startHandover(1, "t2");
    fixture.viewChanged();
    fixture.advance(1_500, true);

    fixture.offer("during", 1, 5_000);

    assertThat(fixture.report().releasedSlots()).isEmpty();
    assertThat(fixture.sent()).containsExactly("during");
    fixture.reply("during", new TargetReply.Completed(200));
    fixture.control.setIncarnation("t1", "i2");
    fixture.viewChanged();
    fixture.advance(500, true);
    fixture.offer("after", 1, 5_000);
    assertThat(fixture.sent()).containsExactly("during");
    assertThat(fixture.report().releasedSlots()).containsExactly(1);
  }
}
