package io.coltsfootwheel.tool;

import java.util.Optional;

/**
 * One request of a load run with its outcome; one line of a {@code --record} file.
 *
 * @param number position in the schedule, from 0
 * @param id identifies the request, sent as header {@code Load-Request}
 * @param service the service
 * @param key key, empty for an unkeyed service
 * @param identity request identity, empty for an idempotent request
 * @param dueMicros time at which it was due, from the start of the run
 * @param endMicros time of the response or failure, from the start of the run
 * @param result what became of it
 * @param status HTTP status of the last response, 0 for none
 * @param code error code of the router's response, empty for none
 * @param target target that responded, empty for none
 * @param sends how often it was sent
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
