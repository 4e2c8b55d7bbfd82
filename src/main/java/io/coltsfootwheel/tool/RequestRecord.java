package io.coltsfootwheel.tool;

import java.util.Optional;

/**
 * Request of a load run with its result, as written to one line of a {@code --record} file.
 *
 * @param number position in the schedule, from 0
 * @param id unique id of the request, sent in the header {@code Load-Request}
 * @param service name of the service
 * @param key key, empty for an unkeyed service
 * @param identity request identity, empty for an idempotent request
 * @param dueMicros time at which the request was due, from the start of the run
 * @param endMicros time of the response or failure, from the start of the run
 * @param result result of the request
 * @param status HTTP status of the last response, 0 without a response
 * @param code error code of the router's response or class of the failure, empty for a target's
 *     response
 * @param target target named in the response, empty if none is
 * @param sends number of times that the request was sent
 */
record RequestRecord(
    int number,
    String id,
    String service,
    String key,
    String identity,
    long dueMicros,
    long endMicros,
    LoadResult result,
    int status,
    String code,
    String target,
    int sends) {
  long latencyMicros() {
    return endMicros - dueMicros;
  }

  Optional<String> targetName() {
    return target.isEmpty() ? Optional.empty() : Optional.of(target);
  }
}
