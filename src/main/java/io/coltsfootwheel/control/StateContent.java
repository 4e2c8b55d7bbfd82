package io.coltsfootwheel.control;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.PolicyLists;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;

/**
 * Parts of the control state at one log index.
 *
 * @param index last applied log index
 * @param instances registered instances
 * @param services services with their targets and the owners of their hash slots
 * @param targets all targets
 * @param lists the operators' lists of plans and allowances
 * @param changes results of the operators' latest changes
 * @param explanations reasons for the latest changes
 */
record StateContent(
    long index,
    SortedTable<InstanceId, InstanceState> instances,
    SortedTable<ServiceName, ServiceState> services,
    SortedTable<TargetId, TargetState> targets,
    PolicyLists lists,
    ChangeResults changes,
    Explanations explanations) {
  static StateContent empty() {
    return new StateContent(
        0,
        SortedTable.empty(),
        SortedTable.empty(),
        SortedTable.empty(),
        PolicyLists.empty(),
        ChangeResults.empty(),
        Explanations.empty());
  }
}
