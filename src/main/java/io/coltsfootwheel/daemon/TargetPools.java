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

/** Keeps connection pools open to exactly the targets that this instance dispatches to. */
final class TargetPools {
  /** A dispatcher uses a connection for each slot, and spare ones for cancelled requests. */
  private static final int CONNECTIONS_PER_SLOT = 4;

  private final InstanceId self;
  private final TargetClient targets;
  private final Map<TargetId, TargetSpec> openTargets = new HashMap<>();

  TargetPools(InstanceId self, TargetClient targets) {
    this.self = self;
    this.targets = targets;
  }

  /**
   * Opens and closes pools as the grants of this instance say.
   *
   * @param state the control state
   */
  void update(ControlState state) {
    Map<TargetId, TargetSpec> wanted = new HashMap<>();
    for (ServiceSpec service : state.services()) {
      for (TargetEntry target : state.targetsOf(service.name())) {
        if (target.grant().filter(grant -> grant.holder().equals(self)).isPresent()) {
          wanted.put(target.spec().id(), target.spec());
        }
      }
    }
    closeUnwanted(wanted);
    wanted.forEach(this::open);
  }

  private void closeUnwanted(Map<TargetId, TargetSpec> wanted) {
    Iterator<TargetId> open = openTargets.keySet().iterator();
    while (open.hasNext()) {
      TargetId target = open.next();
      if (!wanted.containsKey(target)) {
        targets.close(target);
        open.remove();
      }
    }
  }

  private void open(TargetId id, TargetSpec spec) {
    TargetSpec present = openTargets.get(id);
    boolean isSame =
        present != null
            && present.address().equals(spec.address())
            && present.connections() == spec.connections()
            && present.incarnation().equals(spec.incarnation());
    if (!isSame) {
      if (present != null) {
        targets.close(id);
      }
      int connections = Math.min(spec.connections(), spec.slots() * CONNECTIONS_PER_SLOT);
      targets.open(id, spec.address(), connections);
      openTargets.put(id, spec);
    }
  }
}
