package io.coltsfootwheel.node;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.listener.ListenerBinder;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Control process on the loopback interface that does not lead, and names the leader it hears. */
final class StandInMember implements AutoCloseable {
  private final NodeLinks links;
  private final NodeMessage.Directory directory;

  /**
   * Starts to answer.
   *
   * @param address address for links to the process
   * @param entryAddress address for links to the entry
   * @param leader the leader that it names
   * @param log structured log
   */
  StandInMember(Address address, Address entryAddress, InstanceId leader, EventLog log) {
    InstanceId self = InstanceId.of(address.host());
    this.directory = new NodeMessage.Directory(Optional.of(leader), List.of(self, leader));
    this.links =
        new NodeLinks("test", address, address.port(), this::receive, lost -> {}, log, 100);
    links.start(ListenerBinder.withoutRetry());
    links.peers(Set.of(), Map.of(InstanceId.of(entryAddress.host()), entryAddress));
  }

  private void receive(InstanceId from, NodeMessage message) {
    if (message instanceof NodeMessage.Subscribe) {
      links.send(from, directory);
    }
  }

  @Override
  public void close() {
    links.close();
  }
}
