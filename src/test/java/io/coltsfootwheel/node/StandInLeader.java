package io.coltsfootwheel.node;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.listener.ListenerBinder;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.routing.Configuration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Control leader on the loopback interface that answers the subscriptions of one entry. Its answers
 * state what was the newest when they were written, and may arrive later.
 */
final class StandInLeader implements AutoCloseable {
  private static final long TERM = 1;

  private final InstanceId self;
  private final NodeLinks links;
  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
  private Configuration configuration;
  private OwnershipView view;
  private long viewSequence = 1;
  private long answerDelayMillis;
  private boolean losesConfigurations;
  private boolean isSilent;
  private CountDownLatch nextAnswer = new CountDownLatch(1);

  /**
   * Starts to answer.
   *
   * @param address address for links to the leader
   * @param entryAddress address for links to the entry
   * @param configuration first configuration
   * @param view first view
   * @param log structured log
   */
  StandInLeader(
      Address address,
      Address entryAddress,
      Configuration configuration,
      OwnershipView view,
      EventLog log) {
    this.self = InstanceId.of(address.host());
    this.configuration = configuration;
    this.view = view;
    this.links =
        new NodeLinks("test", address, address.port(), this::receive, lost -> {}, log, 100);
    links.start(ListenerBinder.withoutRetry());
    links.peers(Set.of(), Map.of(InstanceId.of(entryAddress.host()), entryAddress));
  }

  /** Accepts a change, which later answers contain. */
  synchronized void change(Configuration newConfiguration, OwnershipView newView) {
    configuration = newConfiguration;
    view = newView;
    viewSequence++;
  }

  /** Sets the time that each answer is under way. */
  synchronized void delayAnswers(long millis) {
    answerDelayMillis = millis;
  }

  /** Loses all further configurations on their way; the other messages arrive. */
  synchronized void loseConfigurations() {
    losesConfigurations = true;
  }

  /** Answers nothing from now on. */
  synchronized void fallSilent() {
    isSilent = true;
  }

  private synchronized void receive(InstanceId from, NodeMessage message) {
    if (message instanceof NodeMessage.Subscribe subscribe && !isSilent) {
      NodeMessage answer = answer(subscribe);
      executor.schedule(() -> send(from, answer), answerDelayMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void send(InstanceId to, NodeMessage answer) {
    links.send(to, answer);
    currentLatch().countDown();
  }

  private synchronized CountDownLatch currentLatch() {
    return nextAnswer;
  }

  /** Waits until a further answer has been sent, so that the entry has just heard the leader. */
  void awaitNextAnswer() throws InterruptedException {
    CountDownLatch latch = new CountDownLatch(1);
    synchronized (this) {
      nextAnswer = latch;
    }
    latch.await();
  }

  private NodeMessage answer(NodeMessage.Subscribe subscribe) {
    boolean needsConfiguration =
        subscribe.configurationVersion() != configuration.version() && !losesConfigurations;
    boolean needsView = subscribe.viewSequence() != viewSequence;
    return new NodeMessage.Routing(
        TERM,
        viewSequence,
        configuration.version(),
        needsConfiguration ? Optional.of(configuration) : Optional.empty(),
        needsView ? Optional.of(view) : Optional.empty(),
        Optional.empty(),
        Map.of(),
        1,
        List.of(self),
        0,
        OptionalLong.of(subscribe.sentNanos()));
  }

  @Override
  public void close() {
    executor.shutdownNow();
    links.close();
  }
}
