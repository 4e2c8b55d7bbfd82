package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.edge.TargetClient;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Keeps a connection pool open for each target whose dispatch grant this instance holds, and for no
 * other target.
 */
final class TargetPools {
  /**
   * A dispatcher uses one connection for each concurrency slot, and spare ones for cancelled
   * requests.
   */
  private static final int CONNECTIONS_PER_SLOT = 4;

  private final InstanceId self;
  private final TargetClient targetClient;
  private final Map<TargetId, TargetSpec> openSpecs = new HashMap<>();

  TargetPools(InstanceId self, TargetClient targetClient) {
    this.self = self;
    this.targetClient = targetClient;
  }

  /**
   * Opens and closes pools according to the grants of this instance.
   *
   * @param state the control state
   */
  void update(ControlState state) {
    Map<TargetId, TargetSpec> granted = new HashMap<>();
    for (ServiceSpec service : state.services()) {
      for (TargetEntry target : state.targetsOf(service.name())) {
        if (target.grant().filter(grant -> grant.holder().equals(self)).isPresent()) {
          granted.put(target.spec().id(), target.spec());
        }
      }
    }
    retireUngranted(granted);
    granted.forEach(this::open);
  }

  /**
   * A grant that has moved or ended does not end the requests that were sent under it: the target
   * goes on working on them, and their callers wait for the responses.
   */
  private void retireUngranted(Map<TargetId, TargetSpec> granted) {
    Iterator<TargetId> open = openSpecs.keySet().iterator();
    while (open.hasNext()) {
      TargetId target = open.next();
      if (!granted.containsKey(target)) {
        targetClient.retire(target);
        open.remove();
      }
    }
  }

  private void open(TargetId id, TargetSpec spec) {
    TargetSpec openSpec = openSpecs.get(id);
    boolean isSame =
        openSpec != null
            && openSpec.address().equals(spec.address())
            && connections(openSpec) == connections(spec)
            && openSpec.incarnation().equals(spec.incarnation());
    if (!isSame) {
      if (openSpec != null && !openSpec.incarnation().equals(spec.incarnation())) {
        targetClient.close(id);
      }
      targetClient.open(id, spec.address(), connections(spec));
      openSpecs.put(id, spec);
    }
  }

  private static int connections(TargetSpec spec) {
    return Math.min(spec.connections(), spec.slots() * CONNECTIONS_PER_SLOT);
  }
}
