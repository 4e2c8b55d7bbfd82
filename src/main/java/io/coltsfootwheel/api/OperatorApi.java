package io.coltsfootwheel.api;

import io.coltsfootwheel.model.Allowance;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.PlanName;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** JSON shapes of the operators' HTTP interface; docs/OPERATOR-API.md describes each field. */
public final class OperatorApi {
  private OperatorApi() {}

  /**
   * Response to {@code GET /v1/status}.
   *
   * @param clusterName name of the cluster
   * @param instance instance that responded
   * @param leader control leader as the instance knows it, empty when unknown
   * @param term consensus term
   * @param commitIndex committed log index that the instance knows
   * @param instances registered instances
   * @param services configured services
   * @param targets known targets
   * @param alarms conditions that need an operator
   */
  public record Status(
      String clusterName,
      String instance,
      String leader,
      long term,
      long commitIndex,
      List<InstanceStatus> instances,
      List<ServiceStatus> services,
      List<TargetState> targets,
      List<String> alarms) {}

  /**
   * Instance in a status.
   *
   * @param id name
   * @param zone availability zone
   * @param controlMember true for a member of the control group
   * @param leased true while its lease is valid
   * @param appliedIndex log index that it reported as applied
   */
  public record InstanceStatus(
      String id, String zone, boolean controlMember, boolean leased, long appliedIndex) {}

  /**
   * Service in a status.
   *
   * @param name name
   * @param keyed true when each key has one owner
   * @param hashSlots number of hash slots, 0 for an unkeyed service
   * @param unownedHashSlots hash slots without an owner
   * @param imbalance highest load of a target divided by the mean
   */
  public record ServiceStatus(
      String name, boolean keyed, int hashSlots, int unownedHashSlots, double imbalance) {}

  /**
   * Target in a status, also an element of {@code GET /v1/targets}.
   *
   * @param id name
   * @param service service that it offers
   * @param address IP address and port
   * @param zone availability zone
   * @param status replicated status
   * @param dispatcher instance that dispatches to it, empty when none
   * @param fence fence of the dispatch grant, 0 when none
   * @param ownedHashSlots number of hash slots that it owns
   * @param inFlight requests sent and not yet answered
   * @param queued requests waiting for a slot
   */
  public record TargetState(
      String id,
      String service,
      String address,
      String zone,
      String status,
      String dispatcher,
      long fence,
      int ownedHashSlots,
      int inFlight,
      int queued) {}

  /**
   * Response to {@code GET /v1/targets}.
   *
   * @param targets known targets
   */
  public record Targets(List<TargetState> targets) {}

  /**
   * Response to {@code GET /v1/lists}, and to a {@code POST} that conflicts (409).
   *
   * @param revision revision of the lists
   * @param plans plan of each customer
   * @param allowances allowance of each plan
   */
  public record Lists(
      long revision, Map<CustomerId, PlanName> plans, Map<PlanName, Allowance> allowances) {}

  /**
   * Body of {@code POST /v1/lists}.
   *
   * @param changeId identity of the change; the same identity gets the first response again
   * @param baseRevision revision on which the change is based
   * @param plans all plans
   * @param allowances all allowances
   */
  public record ListsChange(
      String changeId,
      long baseRevision,
      Map<CustomerId, PlanName> plans,
      Map<PlanName, Allowance> allowances) {}

  /**
   * Response to {@code POST /v1/lists} that was accepted.
   *
   * @param revision revision of the new lists
   */
  public record ListsAccepted(long revision) {}

  /**
   * Response to {@code GET /v1/lists/applied?revision=N}.
   *
   * @param revision the revision asked for
   * @param instances applied revision of each instance
   * @param behind names of instances that have not applied the revision
   */
  public record ListsApplied(
      long revision, List<InstanceRevision> instances, List<String> behind) {}

  /**
   * Lists revision of one instance.
   *
   * @param id name of the instance
   * @param appliedRevision log index that the instance reported as applied
   */
  public record InstanceRevision(String id, long appliedRevision) {}

  /**
   * Response to {@code GET /v1/owner?service=S&key=K}.
   *
   * @param service the service
   * @param hashSlot hash slot of the key
   * @param owner owning target, empty when none
   * @param fence ownership fence, 0 when none
   * @param dispatcher instance that dispatches to the owner, empty when none
   */
  public record Owner(String service, int hashSlot, String owner, long fence, String dispatcher) {}

  /**
   * Response to {@code GET /v1/explain?subject=S}.
   *
   * @param lines reasons, oldest first
   */
  public record Explanation(List<ExplanationLine> lines) {}

  /**
   * One reason.
   *
   * @param index log index of the decision
   * @param reason why it was taken
   */
  public record ExplanationLine(long index, String reason) {}

  /**
   * Response to {@code GET /v1/members}.
   *
   * @param leader control leader, empty when unknown
   * @param term consensus term
   * @param members members and learners
   */
  public record Members(String leader, long term, List<Member> members) {}

  /**
   * Member of the control group.
   *
   * @param instance name of the instance
   * @param diskId identity of its disk
   * @param voter false for a learner
   * @param matchIndex log index that the leader knows it to hold, 0 when unknown
   * @param heard true when it has answered the leader within 150 ms
   */
  public record Member(
      String instance, String diskId, boolean voter, long matchIndex, boolean heard) {}

  /**
   * Response to {@code GET /v1/burn}.
   *
   * @param services one element for each service
   * @param instances instances whose counts are included
   * @param missing instances that did not answer; their requests are not counted
   */
  public record Burn(List<ServiceBurn> services, List<String> instances, List<String> missing) {
    /** Reads absent names as none. */
    public Burn {
      instances = instances == null ? List.of() : List.copyOf(instances);
      missing = missing == null ? List.of() : List.copyOf(missing);
    }
  }

  /**
   * Measures of one service.
   *
   * @param service the service
   * @param windows measures over the last windows, shortest first
   * @param objectives objectives of the service, absent when it has none
   */
  public record ServiceBurn(
      String service, List<BurnWindow> windows, Optional<Objectives> objectives) {}

  /**
   * Measures over one window that ends now.
   *
   * @param windowSeconds length of the window
   * @param answered requests answered in time
   * @param late requests answered late
   * @param lost requests that got no response from a target
   * @param notRun lost requests that were not run
   * @param unknown lost requests whose outcome is unknown
   * @param refused requests not run for a fault of their own or a limit of their plan
   * @param imbalance highest load of a target divided by the mean
   * @param churnSlots ownership changes of hash slots
   * @param unavailableMillis time during which some hash slot had no usable owner
   */
  public record BurnWindow(
      long windowSeconds,
      long answered,
      long late,
      long lost,
      long notRun,
      long unknown,
      long refused,
      double imbalance,
      long churnSlots,
      long unavailableMillis) {}

  /**
   * Objectives of a service as its settings state them.
   *
   * @param answeredInTimeShare share of requests answered in time
   * @param inTimeMillis latency up to which an answer is in time
   * @param unavailableSecondsPerDay unavailable time allowed per day
   * @param churnSlotsPerHour ownership changes allowed per hour
   */
  public record Objectives(
      double answeredInTimeShare,
      int inTimeMillis,
      int unavailableSecondsPerDay,
      int churnSlotsPerHour) {}

  /**
   * Body of every response with an error status except a lists conflict.
   *
   * @param code code of the error kind
   * @param message what is wrong
   * @param remedy what to do about it
   */
  public record ApiError(String code, String message, String remedy) {}
}
