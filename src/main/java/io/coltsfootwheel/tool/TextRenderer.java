package io.coltsfootwheel.tool;

import io.coltsfootwheel.api.OperatorApi;
import java.util.List;
import java.util.stream.Collectors;

/** Formats responses of the operators' interface as text. */
final class TextRenderer {
  private TextRenderer() {}

  static String status(OperatorApi.Status status) {
    TextTable instances = TextTable.of("INSTANCE", "ZONE", "CONTROL", "LEASED", "APPLIED");
    status
        .instances()
        .forEach(
            instance ->
                instances.row(
                    instance.id(),
                    instance.zone(),
                    instance.controlMember(),
                    instance.leased(),
                    instance.appliedIndex()));
    TextTable services = TextTable.of("SERVICE", "KEYED", "HASH-SLOTS", "UNOWNED", "IMBALANCE");
    status
        .services()
        .forEach(
            service ->
                services.row(
                    service.name(),
                    service.keyed(),
                    service.hashSlots(),
                    service.unownedHashSlots(),
                    service.imbalance()));
    String head =
        "cluster %s, answered by %s, leader %s, term %d, committed %d"
            .formatted(
                status.clusterName(),
                status.instance(),
                status.leader().isEmpty() ? "unknown" : status.leader(),
                status.term(),
                status.commitIndex());
    String alarms =
        status.alarms().isEmpty()
            ? "no alarms"
            : "ALARM " + String.join("\nALARM ", status.alarms());
    return String.join(
        "\n\n",
        head,
        instances.toString(),
        services.toString(),
        targetTable(status.targets()),
        alarms);
  }

  static String targets(OperatorApi.Targets targets) {
    return targetTable(targets.targets());
  }

  static String owner(OperatorApi.Owner owner) {
    return "service %s, hash slot %d, owner %s, fence %d, dispatcher %s"
        .formatted(
            owner.service(),
            owner.hashSlot(),
            owner.owner().isEmpty() ? "none" : owner.owner(),
            owner.fence(),
            owner.dispatcher().isEmpty() ? "none" : owner.dispatcher());
  }

  static String explanation(OperatorApi.Explanation explanation) {
    return explanation.lines().stream()
        .map(line -> line.index() + "  " + line.reason())
        .collect(Collectors.joining("\n"));
  }

  static String members(OperatorApi.Members members) {
    TextTable table = TextTable.of("INSTANCE", "ROLE", "ANSWERS", "MATCHED", "DISK");
    members
        .members()
        .forEach(
            member ->
                table.row(
                    member.instance(),
                    role(member, members.leader()),
                    member.heard(),
                    member.matchIndex(),
                    member.diskId()));
    return "term " + members.term() + "\n" + table;
  }

  private static String role(OperatorApi.Member member, String leader) {
    if (member.instance().equals(leader)) {
      return "leader";
    }
    return member.voter() ? "voter" : "learner";
  }

  private static String targetTable(List<OperatorApi.TargetState> targets) {
    TextTable table =
        TextTable.of(
            "TARGET",
            "SERVICE",
            "ADDRESS",
            "ZONE",
            "STATUS",
            "DISPATCHER",
            "FENCE",
            "OWNED",
            "IN-FLIGHT",
            "QUEUED");
    targets.forEach(
        target ->
            table.row(
                target.id(),
                target.service(),
                target.address(),
                target.zone(),
                target.status(),
                target.dispatcher(),
                target.fence(),
                target.ownedHashSlots(),
                target.inFlight(),
                target.queued()));
    return table.toString();
  }
}
