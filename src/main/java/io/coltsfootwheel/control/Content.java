package io.coltsfootwheel.control;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.PolicyLists;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;

/**
 * Parts of the control state.
 *
 * @param index last applied log index
 * @param instances registered instances
 * @param services services with their slot tables
 * @param targets all targets
 * @param lists the operators' lists
 * @param changes identities of the operators' changes
 * @param explanations the latest reasons
 */
record Content(
    long index,
    SortedTable<InstanceId, InstanceState> instances,
    SortedTable<ServiceName, ServiceState> services,
    SortedTable<TargetId, TargetState> targets,
    PolicyLists lists,
    ChangeMemory changes,
    Explanations explanations) {
  static Content empty() {
    return new Content(
        0,
        SortedTable.empty(),
        SortedTable.empty(),
        SortedTable.empty(),
        PolicyLists.empty(),
        ChangeMemory.empty(),
        Explanations.empty());
  }
}
