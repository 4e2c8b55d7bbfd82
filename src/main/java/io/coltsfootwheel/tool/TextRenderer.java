package io.coltsfootwheel.tool;

import io.coltsfootwheel.api.OperatorApi;
import java.util.List;
import java.util.stream.Collectors;

/** Readable text of responses. */
final class TextRenderer {
  private TextRenderer() {}

  static String status(OperatorApi.Status status) {
    TextTable instances = TextTable.of("INSTANCE", "ZONE", "CONTROL", "LEASED", "APPLIED");
    status
        .instances()
        .forEach(
            i -> instances.row(i.id(), i.zone(), i.controlMember(), i.leased(), i.appliedIndex()));
    TextTable services = TextTable.of("SERVICE", "KEYED", "HASH-SLOTS", "UNOWNED", "IMBALANCE");
    status
        .services()
        .forEach(
            s ->
                services.row(
                    s.name(), s.keyed(), s.hashSlots(), s.unownedHashSlots(), s.imbalance()));
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
            m ->
                table.row(
                    m.instance(),
                    role(m, members.leader()),
                    m.heard(),
                    m.matchIndex(),
                    m.diskId()));
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
        t ->
            table.row(
                t.id(),
                t.service(),
                t.address(),
                t.zone(),
                t.status(),
                t.dispatcher(),
                t.fence(),
                t.ownedHashSlots(),
                t.inFlight(),
                t.queued()));
    return table.toString();
  }
}
