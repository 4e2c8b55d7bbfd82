package io.coltsfootwheel.settings;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceSpec;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Reports combinations of settings that contradict each other, although each is valid on its own.
 */
final class ConsistencyChecker {
  private final DaemonSettings settings;
  private final FaultCollector faults;

  ConsistencyChecker(DaemonSettings settings, FaultCollector faults) {
    this.settings = settings;
    this.faults = faults;
  }

  void checkAll() {
    checkListenAddresses();
    checkInitialMembers();
    if (!faults.hasFaultOf("instance.id")) {
      checkMembers();
      checkDataFolder();
    }
    checkServices();
    checkDeadlines();
  }

  private void checkListenAddresses() {
    Map<String, Address> addressBySetting = new LinkedHashMap<>();
    addressBySetting.put("listen.link", settings.linkAddress());
    addressBySetting.put("listen.http", settings.httpAddress());
    addressBySetting.put("listen.operator", settings.operatorAddress());
    Map<Address, String> settingByAddress = new LinkedHashMap<>();
    addressBySetting.forEach(
        (name, address) -> {
          if (faults.hasFaultOf(name)) {
            return;
          }
          for (Map.Entry<Address, String> other : settingByAddress.entrySet()) {
            faults.check(
                !overlaps(address, other.getKey()),
                name,
                address + " is also used by " + other.getValue(),
                "use a different port");
          }
          settingByAddress.put(address, name);
        });
  }

  private static boolean overlaps(Address first, Address second) {
    boolean sameHost = first.host().equals(second.host());
    boolean wildcard = SettingsReader.isWildcard(first) || SettingsReader.isWildcard(second);
    return first.port() == second.port() && (sameHost || wildcard);
  }

  private void checkMembers() {
    List<ControlMember> members = settings.controlMembers();
    checkUnique("control-members", "instance-id", members, ControlMember::instance);
    checkUnique("control-members", "link-address", members, ControlMember::linkAddress);
    for (int i = 0; i < members.size(); i++) {
      ControlMember member = members.get(i);
      if (member.instance().equals(settings.instance())) {
        faults.check(
            member.linkAddress().equals(settings.advertisedLinkAddress()),
            "control-members[" + i + "].link-address",
            member.linkAddress() + " is not this instance's own advertised link address",
            "use " + settings.advertisedLinkAddress() + " or correct listen.link");
      } else {
        faults.check(
            !member.linkAddress().equals(settings.advertisedLinkAddress()),
            "control-members[" + i + "].link-address",
            member.linkAddress() + " is the advertised link address of this instance",
            "use the link address of " + member.instance());
      }
    }
  }

  private void checkInitialMembers() {
    Set<InstanceId> controlMembers = new HashSet<>();
    settings.controlMembers().forEach(member -> controlMembers.add(member.instance()));
    Set<InstanceId> seen = new HashSet<>();
    for (InstanceId member : settings.initialMembers()) {
      faults.check(
          controlMembers.contains(member),
          "initial-members",
          "'" + member + "' is not among control-members",
          "add it to control-members or remove it here");
      faults.check(
          seen.add(member), "initial-members", "'" + member + "' is repeated", "name it once");
    }
  }

  private void checkDataFolder() {
    boolean member = settings.isControlMember();
    faults.check(
        member || settings.dataFolder().isEmpty(),
        "data-folder",
        "is set, but '" + settings.instance() + "' is not among control-members",
        "remove data-folder or add the instance to control-members");
    faults.check(
        !member || settings.dataFolder().isPresent(),
        "data-folder",
        "is missing, but '" + settings.instance() + "' is a control member",
        "set data-folder to a folder on a disk of this instance");
  }

  private void checkServices() {
    checkUnique("services", "name", settings.services(), ServiceSpec::name);
    settings
        .objectives()
        .forEach(
            (service, objective) ->
                faults.check(
                    objective.inTimeMillis() <= settings.limits().deadlineMaximumMillis(),
                    "services.objectives.in-time-millis",
                    "of '" + service + "' is above limits.deadline-maximum-millis",
                    "lower it or raise limits.deadline-maximum-millis"));
  }

  private void checkDeadlines() {
    RequestLimits limits = settings.limits();
    faults.check(
        limits.deadlineDefaultMillis() <= limits.deadlineMaximumMillis(),
        "limits.deadline-default-millis",
        limits.deadlineDefaultMillis() + " is above limits.deadline-maximum-millis",
        "use at most " + limits.deadlineMaximumMillis());
  }

  private <T> void checkUnique(
      String arrayName, String key, List<T> elements, Function<T, Object> fieldOf) {
    Set<Object> seen = new HashSet<>();
    for (int i = 0; i < elements.size(); i++) {
      Object value = fieldOf.apply(elements.get(i));
      faults.check(
          seen.add(value),
          arrayName + "[" + i + "]." + key,
          "'" + value + "' is repeated",
          "use a different value in each element");
    }
  }
}
