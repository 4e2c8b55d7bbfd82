package io.coltsfootwheel.tool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Result of comparing the requests of a load run with the executions at the targets.
 *
 * @param sent number of requests sent
 * @param executions number of executions of these requests
 * @param violations description of each violation, in one line
 */
record MatchResult(int sent, int executions, List<String> violations) {
  /** Compares requests with executions, and ignores executions for other callers. */
  static MatchResult of(List<RequestRecord> requests, List<ExecutionRecord> executions) {
    List<String> violations = new ArrayList<>();
    Map<String, Integer> executionCounts = new HashMap<>();
    executions.forEach(
        execution -> executionCounts.merge(execution.loadRequest(), 1, Integer::sum));
    checkTotals(requests, violations);
    checkIdentities(executions, violations);
    int matchedExecutions = 0;
    for (RequestRecord request : requests) {
      int executionCount = executionCounts.getOrDefault(request.id(), 0);
      matchedExecutions += executionCount;
      checkRequest(request, executionCount, violations);
    }
    return new MatchResult(requests.size(), matchedExecutions, violations);
  }

  String text() {
    String result =
        violations.isEmpty()
            ? "no violation"
            : violations.size() + " violations, first: " + violations.get(0);
    return "match: sent %d, executions %d: %s".formatted(sent, executions, result);
  }

  private static void checkTotals(List<RequestRecord> requests, List<String> violations) {
    LoadSummary summary = LoadSummary.of(requests);
    long sum = summary.answered() + summary.late() + summary.lost();
    if (sum != summary.sent()) {
      violations.add("answered + late + lost is " + sum + ", sent is " + summary.sent());
    }
    Set<String> ids = new HashSet<>();
    int highest = -1;
    for (RequestRecord request : requests) {
      highest = Math.max(highest, request.number());
      if (!ids.add(request.id())) {
        violations.add("request " + request.id() + " is recorded twice");
      }
    }
    if (ids.size() != highest + 1) {
      violations.add("records of " + (highest + 1 - ids.size()) + " requests are missing");
    }
  }

  private static void checkIdentities(List<ExecutionRecord> executions, List<String> violations) {
    Map<String, ExecutionRecord> firstByIdentity = new HashMap<>();
    for (ExecutionRecord execution : executions) {
      ExecutionRecord earlier =
          execution.identity().isEmpty()
              ? null
              : firstByIdentity.putIfAbsent(execution.identity(), execution);
      if (earlier != null) {
        violations.add(
            "identity %s was executed by %s (fence %d) and by %s (fence %d)"
                .formatted(
                    execution.identity(),
                    earlier.target(),
                    earlier.fence(),
                    execution.target(),
                    execution.fence()));
      }
    }
  }

  private static void checkRequest(
      RequestRecord request, int executionCount, List<String> violations) {
    if (request.result() == LoadResult.LOST_NOT_RUN && executionCount > 0) {
      violations.add("request " + request.id() + " was reported as not run, but was executed");
    }
    if (isReportedAsExecuted(request) && executionCount == 0) {
      violations.add("request " + request.id() + " was reported as run, but was not executed");
    }
  }

  /**
   * Returns whether the response states that the request was executed: a success response of a
   * target, or the outcome {@code run}. A target may respond with an error without executing.
   */
  private static boolean isReportedAsExecuted(RequestRecord request) {
    boolean success = request.result().isFromTarget() && isSuccess(request);
    return success || request.result() == LoadResult.LOST_RUN;
  }

  private static boolean isSuccess(RequestRecord request) {
    return request.status() >= 200 && request.status() < 300;
  }
}
