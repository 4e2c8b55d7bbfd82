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

/** Finds contradictions between settings that are valid on their own. */
final class ConsistencyCheck {
  private final DaemonSettings settings;
  private final FaultLog faults;

  ConsistencyCheck(DaemonSettings settings, FaultLog faults) {
    this.settings = settings;
    this.faults = faults;
  }

  void run() {
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
    Map<String, Address> named = new LinkedHashMap<>();
    named.put("listen.link", settings.linkAddress());
    named.put("listen.http", settings.httpAddress());
    named.put("listen.operator", settings.operatorAddress());
    Map<Address, String> seen = new LinkedHashMap<>();
    named.forEach(
        (name, address) -> {
          if (faults.hasFaultOf(name)) {
            return;
          }
          for (Map.Entry<Address, String> other : seen.entrySet()) {
            faults.check(
                !overlaps(address, other.getKey()),
                name,
                address + " is also used by " + other.getValue(),
                "use another port");
          }
          seen.put(address, name);
        });
  }

  private static boolean overlaps(Address a, Address b) {
    boolean sameHost = a.host().equals(b.host());
    boolean wildcard = SettingsReader.isWildcard(a) || SettingsReader.isWildcard(b);
    return a.port() == b.port() && (sameHost || wildcard);
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
            member.linkAddress() + " is not this instance's own link address",
            "use " + settings.advertisedLinkAddress() + " or correct listen.link");
      } else {
        faults.check(
            !member.linkAddress().equals(settings.advertisedLinkAddress()),
            "control-members[" + i + "].link-address",
            member.linkAddress() + " is the address of this instance",
            "use the address of " + member.instance());
      }
    }
  }

  private void checkInitialMembers() {
    Set<InstanceId> known = new HashSet<>();
    settings.controlMembers().forEach(member -> known.add(member.instance()));
    Set<InstanceId> seen = new HashSet<>();
    for (InstanceId member : settings.initialMembers()) {
      faults.check(
          known.contains(member),
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
                    "lower it or raise the maximum deadline"));
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
      String table, String key, List<T> elements, Function<T, Object> field) {
    Set<Object> seen = new HashSet<>();
    for (int i = 0; i < elements.size(); i++) {
      Object value = field.apply(elements.get(i));
      faults.check(
          seen.add(value),
          table + "[" + i + "]." + key,
          "'" + value + "' is repeated",
          "give each element its own");
    }
  }
}
