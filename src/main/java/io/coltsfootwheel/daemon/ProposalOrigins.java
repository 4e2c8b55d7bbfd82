package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.model.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Records on the leader which instance proposed a command, so that it receives the result.
 *
 * <p>The log index of a proposal and the result of its command become known in either order; the
 * answer is sent when both are known.
 */
final class ProposalOrigins {
  private final Map<Long, Origin> originByProposal = new HashMap<>();
  private final Map<Long, Long> proposalByIndex = new HashMap<>();
  private final Map<Long, CommandResult> resultByIndex = new HashMap<>();

  /**
   * Instance that proposed a command, with the number that it chose for the proposal. Proposals of
   * the supervisor have no origin.
   */
  private record Origin(InstanceId instance, long number) {}

  /**
   * Records the origin of a proposal.
   *
   * @param proposal number of the proposal at this leader
   * @param instance the instance
   * @param number number of the proposal at the instance
   */
  void recordOrigin(long proposal, InstanceId instance, long number) {
    originByProposal.put(proposal, new Origin(instance, number));
  }

  /**
   * Removes a proposal that the log rejected; its origin sends it again.
   *
   * @param proposal number of the proposal at this leader
   */
  void removeRejected(long proposal) {
    originByProposal.remove(proposal);
  }

  /**
   * Records the log index of a committed proposal.
   *
   * @param proposal number of the proposal at this leader
   * @param index its log index
   * @return the answer to send, when it is due
   */
  Optional<InstanceEffect> recordCommit(long proposal, long index) {
    // Membership changes have no origin here and no result, so their entries would never be
    // removed.
    if (!originByProposal.containsKey(proposal)) {
      return Optional.empty();
    }
    proposalByIndex.put(index, proposal);
    return answerIfComplete(index);
  }

  /**
   * Records the result of the command at a log index.
   *
   * @param index the log index
   * @param result the result
   * @return the answer to send, when it is due
   */
  Optional<InstanceEffect> recordResult(long index, CommandResult result) {
    resultByIndex.put(index, result);
    return answerIfComplete(index);
  }

  /** Removes all records when the leadership ends; origins send their proposals again. */
  void clear() {
    originByProposal.clear();
    proposalByIndex.clear();
    resultByIndex.clear();
  }

  private Optional<InstanceEffect> answerIfComplete(long index) {
    if (!proposalByIndex.containsKey(index) || !resultByIndex.containsKey(index)) {
      return Optional.empty();
    }
    CommandResult result = resultByIndex.remove(index);
    Origin origin = originByProposal.remove(proposalByIndex.remove(index));
    return Optional.ofNullable(origin)
        .map(
            requester ->
                new InstanceEffect.SendMessage(
                    requester.instance(),
                    new ControlMessage.Proposed(requester.number(), Optional.of(result))));
  }
}
