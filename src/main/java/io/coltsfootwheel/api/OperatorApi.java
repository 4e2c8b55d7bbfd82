package io.coltsfootwheel.api;

import io.coltsfootwheel.model.Allowance;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.PlanName;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** JSON messages of the operators' HTTP interface; docs/OPERATOR-API.md describes each field. */
public final class OperatorApi {
  private OperatorApi() {}

  /**
   * Response to {@code GET /v1/status}.
   *
   * @param clusterName name of the cluster
   * @param instance name of the instance that responded
   * @param leader control leader known to the instance, empty when unknown
   * @param term consensus term
   * @param commitIndex highest committed log index known to the instance
   * @param instances registered instances
   * @param services configured services
   * @param targets known targets
   * @param alarms conditions that require an operator's action
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
   * Instance in a {@link Status}.
   *
   * @param id name of the instance
   * @param zone availability zone
   * @param controlMember true for a member of the control group
   * @param leased true while the lease of the instance is valid
   * @param appliedIndex highest log index that the instance reported as applied
   */
  public record InstanceStatus(
      String id, String zone, boolean controlMember, boolean leased, long appliedIndex) {}

  /**
   * Service in a {@link Status}.
   *
   * @param name name of the service
   * @param keyed true when each key is owned by one target
   * @param hashSlots number of hash slots, 0 for an unkeyed service
   * @param unownedHashSlots hash slots without an owner
   * @param imbalance highest load of a target divided by the mean load
   */
  public record ServiceStatus(
      String name, boolean keyed, int hashSlots, int unownedHashSlots, double imbalance) {}

  /**
   * Target in a {@link Status} or in {@link Targets}.
   *
   * @param id name of the target
   * @param service service that the target offers
   * @param address IP address and port
   * @param zone availability zone
   * @param status replicated status of the target
   * @param dispatcher instance that dispatches to the target, empty when none
   * @param fence fence of the dispatch grant, 0 when none
   * @param ownedHashSlots number of hash slots that the target owns
   * @param inFlight requests sent and not yet answered
   * @param queued requests waiting for a free execution slot of the target
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
   * Response to {@code GET /v1/lists}, and to a {@code POST} with an outdated base revision (409).
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
   * @param changeId identity of the change; a repeated identity gets the response to its first use
   * @param baseRevision revision of the lists on which the change is based
   * @param plans plan of each customer, replacing the current ones
   * @param allowances allowance of each plan, replacing the current ones
   */
  public record ListsChange(
      String changeId,
      long baseRevision,
      Map<CustomerId, PlanName> plans,
      Map<PlanName, Allowance> allowances) {}

  /**
   * Response to an accepted {@code POST /v1/lists}.
   *
   * @param revision revision of the new lists
   */
  public record ListsAccepted(long revision) {}

  /**
   * Response to {@code GET /v1/lists/applied?revision=N}.
   *
   * @param revision the requested revision
   * @param instances revision that each instance has applied
   * @param behind names of instances that have not applied the revision
   */
  public record ListsApplied(
      long revision, List<InstanceRevision> instances, List<String> behind) {}

  /**
   * Revision of the lists that one instance has applied.
   *
   * @param id name of the instance
   * @param appliedRevision highest log index that the instance reported as applied
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
   * @param lines decisions about the subject with their reasons, oldest first
   */
  public record Explanation(List<ExplanationLine> lines) {}

  /**
   * Decision in an {@link Explanation}.
   *
   * @param index log index of the decision
   * @param reason reason for the decision
   */
  public record ExplanationLine(long index, String reason) {}

  /**
   * Response to {@code GET /v1/members}.
   *
   * @param leader control leader, empty when unknown
   * @param term consensus term
   * @param members voters and learners of the control group
   */
  public record Members(String leader, long term, List<Member> members) {}

  /**
   * Member of the control group.
   *
   * @param instance name of the instance
   * @param diskId identity of its disk
   * @param voter false for a learner
   * @param matchIndex highest log index that the leader knows to be stored by the member, 0 when
   *     unknown
   * @param heard true when the member answered the leader within the last 150 ms
   */
  public record Member(
      String instance, String diskId, boolean voter, long matchIndex, boolean heard) {}

  /**
   * Response to {@code GET /v1/burn}.
   *
   * @param services counts and measurements of each service
   * @param instances instances whose counts are included
   * @param missing instances that did not respond; their requests are not included
   */
  public record Burn(List<ServiceBurn> services, List<String> instances, List<String> missing) {
    /** Copies the lists of names; an absent list is read as empty. */
    public Burn {
      instances = instances == null ? List.of() : List.copyOf(instances);
      missing = missing == null ? List.of() : List.copyOf(missing);
    }
  }

  /**
   * Counts and measurements of one service.
   *
   * @param service the service
   * @param windows counts and measurements over windows of different lengths, shortest first
   * @param objectives objectives of the service, absent when none are configured
   */
  public record ServiceBurn(
      String service, List<BurnWindow> windows, Optional<Objectives> objectives) {}

  /**
   * Counts and measurements over one window, which ends at the time of the request.
   *
   * @param windowSeconds length of the window in seconds
   * @param answered requests answered in time: within the latency objective, or within the deadline
   *     when the service has no objectives
   * @param late requests answered after that time
   * @param lost requests that got no response from a target
   * @param notRun lost requests that were not executed
   * @param unknown lost requests whose outcome is unknown
   * @param refused requests rejected because they were invalid or exceeded a limit of their plan
   * @param imbalance highest load of a target divided by the mean load
   * @param churnSlots number of ownership changes of hash slots
   * @param unavailableMillis time during which at least one hash slot had no usable owner
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
   * Objectives of a service, as configured in its settings.
   *
   * @param answeredInTimeShare required share of requests answered within the latency objective
   * @param inTimeMillis latency objective: an answer up to this latency is in time
   * @param unavailableSecondsPerDay permitted unavailable time per day
   * @param churnSlotsPerHour permitted number of ownership changes of hash slots per hour
   */
  public record Objectives(
      double answeredInTimeShare,
      int inTimeMillis,
      int unavailableSecondsPerDay,
      int churnSlotsPerHour) {}

  /**
   * Body of every response with an error status, except the 409 response of {@code /v1/lists}.
   *
   * @param code code of the error kind
   * @param message what is wrong
   * @param remedy what to do about the error
   */
  public record ApiError(String code, String message, String remedy) {}
}
