package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.model.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Tells the leader whom to answer when a proposed command has been committed and applied.
 *
 * <p>The commit of a proposal and the result of its command arrive in either order; the answer is
 * due when both are known.
 */
final class ProposalOrigins {
  private final Map<Long, Origin> originByProposal = new HashMap<>();
  private final Map<Long, Long> proposalByIndex = new HashMap<>();
  private final Map<Long, CommandResult> resultByIndex = new HashMap<>();

  /** Instance that asked, with the number that it chose; proposals of the supervisor have none. */
  private record Origin(InstanceId instance, long number) {}

  /**
   * Notes that an instance asked for a proposal.
   *
   * @param proposal number of the proposal at this leader
   * @param instance the instance
   * @param number number of the proposal at the instance
   */
  void proposedBy(long proposal, InstanceId instance, long number) {
    originByProposal.put(proposal, new Origin(instance, number));
  }

  /**
   * Forgets a proposal that was not accepted; its origin sends it again.
   *
   * @param proposal number of the proposal at this leader
   */
  void rejected(long proposal) {
    originByProposal.remove(proposal);
  }

  /**
   * Notes the log index of a proposal.
   *
   * @param proposal number of the proposal at this leader
   * @param index its log index
   * @return the answer to send, when it is due
   */
  Optional<InstanceEffect> committed(long proposal, long index) {
    // Membership changes have no origin here and no result, so they would never be forgotten.
    if (!originByProposal.containsKey(proposal)) {
      return Optional.empty();
    }
    proposalByIndex.put(index, proposal);
    return answer(index);
  }

  /**
   * Notes the result of the command at a log index.
   *
   * @param index the log index
   * @param result the result
   * @return the answer to send, when it is due
   */
  Optional<InstanceEffect> applied(long index, CommandResult result) {
    resultByIndex.put(index, result);
    return answer(index);
  }

  /** Forgets everything when the leadership ends; origins send their proposals again. */
  void clear() {
    originByProposal.clear();
    proposalByIndex.clear();
    resultByIndex.clear();
  }

  private Optional<InstanceEffect> answer(long index) {
    if (!proposalByIndex.containsKey(index) || !resultByIndex.containsKey(index)) {
      return Optional.empty();
    }
    CommandResult result = resultByIndex.remove(index);
    Origin origin = originByProposal.remove(proposalByIndex.remove(index));
    return Optional.ofNullable(origin)
        .map(
            asked ->
                new InstanceEffect.SendMessage(
                    asked.instance(),
                    new ControlMessage.Proposed(asked.number(), Optional.of(result))));
  }
}
