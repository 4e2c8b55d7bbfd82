package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ControlTiming;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.RenewalAck;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeaseClientTest {
  private static final InstanceId LEADER = InstanceId.of("leader");
  private static final long APPLIED_INDEX = 7;

  private final LeaseClient lease =
      new LeaseClient(
          new InstanceSpec(
              InstanceId.of("i"),
              AvailabilityZone.of("z"),
              new Address("127.0.0.1", 1),
              new Address("127.0.0.1", 2),
              "s"),
          nanos(0));

  private static long nanos(long millis) {
    return TimeUnit.SECONDS.toNanos(9) + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private RenewalAck ack(long sentMillis, long commitIndex) {
    return new RenewalAck(InstanceId.of("i"), lease.session(), nanos(sentMillis), 400, commitIndex);
  }

  /**
   * Load pattern: acknowledgements that wait on a full link. Guards against lists that an instance
   * takes for current because the acknowledgement has just arrived.
   */
  @ParameterizedTest
  @CsvSource({"0, false", "2000, false", "3001, true", "20000, true"})
  void ageOfTheListsCountsFromTheRenewal(long delayMillis, boolean expected) {
    long arrivalMillis = ControlTiming.STALE_LISTS_MILLIS * 10L;
    lease.handleAck(
        nanos(arrivalMillis),
        LEADER,
        ack(arrivalMillis - delayMillis, APPLIED_INDEX),
        APPLIED_INDEX);
    assertThat(lease.isStale(nanos(arrivalMillis))).isEqualTo(expected);
  }

  /** Guards against an older acknowledgement that makes current lists look old. */
  @ParameterizedTest
  @CsvSource({"5000, 4000", "4000, 5000"})
  void latestRenewalCounts(long firstSentMillis, long secondSentMillis) {
    lease.handleAck(nanos(5_000), LEADER, ack(firstSentMillis, APPLIED_INDEX), APPLIED_INDEX);
    lease.handleAck(nanos(5_000), LEADER, ack(secondSentMillis, APPLIED_INDEX), APPLIED_INDEX);
    assertThat(lease.isStale(nanos(8_000))).isFalse();
    assertThat(lease.isStale(nanos(8_001))).isTrue();
  }
}
