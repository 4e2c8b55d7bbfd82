package io.coltsfootwheel.tool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Result of matching the requests of a load run with the executions at the targets.
 *
 * @param sent requests
 * @param executions executions of these requests
 * @param violations one line for each violation
 */
record RunMatch(int sent, int executions, List<String> violations) {
  /** Matches requests with executions; executions of other callers are passed over. */
  static RunMatch of(List<RequestRecord> requests, List<ExecutionRecord> executions) {
    List<String> violations = new ArrayList<>();
    Map<String, Integer> runs = new HashMap<>();
    executions.forEach(execution -> runs.merge(execution.loadRequest(), 1, Integer::sum));
    checkSum(requests, violations);
    checkIdentities(executions, violations);
    int matched = 0;
    for (RequestRecord request : requests) {
      int count = runs.getOrDefault(request.id(), 0);
      matched += count;
      checkRequest(request, count, violations);
    }
    return new RunMatch(requests.size(), matched, violations);
  }

  String text() {
    String result =
        violations.isEmpty()
            ? "no violation"
            : violations.size() + " violations, first: " + violations.get(0);
    return "match: sent %d, executions %d: %s".formatted(sent, executions, result);
  }

  private static void checkSum(List<RequestRecord> requests, List<String> violations) {
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
    Map<String, ExecutionRecord> first = new HashMap<>();
    for (ExecutionRecord execution : executions) {
      ExecutionRecord earlier =
          execution.identity().isEmpty()
              ? null
              : first.putIfAbsent(execution.identity(), execution);
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

  private static void checkRequest(RequestRecord request, int count, List<String> violations) {
    if (request.result() == LoadResult.LOST_NOT_RUN && count > 0) {
      violations.add("request " + request.id() + " was reported as not run, but was executed");
    }
    if (isClaimed(request) && count == 0) {
      violations.add("request " + request.id() + " was reported as run, but was not executed");
    }
  }

  /** A target's error response may come without an execution; a success or 'run' may not. */
  private static boolean isClaimed(RequestRecord request) {
    boolean success = request.result().isFromTarget() && isSuccess(request);
    return success || request.result() == LoadResult.LOST_RUN;
  }

  private static boolean isSuccess(RequestRecord request) {
    return request.status() >= 200 && request.status() < 300;
  }
}
