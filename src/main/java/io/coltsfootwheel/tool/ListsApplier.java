package io.coltsfootwheel.tool;

import io.coltsfootwheel.api.OperatorApi;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Sends a change of the lists.
 *
 * <p>The identity of the change is stored until the change is accepted or rejected with a conflict,
 * so that a change that is resent after a lost response is applied only once.
 */
final class ListsApplier {
  private static final int CONFLICT_STATUS = 409;
  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final OperatorClient client;
  private final Console console;
  private final Path stateFile;
  private final Supplier<String> newChangeId;

  ListsApplier(
      OperatorClient client, Console console, Path stateFile, Supplier<String> newChangeId) {
    this.client = client;
    this.console = console;
    this.stateFile = stateFile;
    this.newChangeId = newChangeId;
  }

  /**
   * Sends the change and returns the new revision.
   *
   * @throws ToolException with {@link ExitCode#CONFLICT} and the command to run next if another
   *     revision than the base revision is in force, or with the exit code of another failure
   */
  long apply(ListsState state, ListContents newLists, List<Path> files) {
    String digest = newLists.digest(state.baseRevision());
    String changeId = state.changeIdFor(digest, newChangeId.get());
    ListsState sentState = state.withPending(changeId, digest);
    sentState.write(stateFile);
    OperatorApi.ListsChange change =
        new OperatorApi.ListsChange(
            changeId, state.baseRevision(), newLists.plans(), newLists.allowances());
    OperatorClient.Response response = client.post("/v1/lists", ToolJson.line(change));
    if (response.status() == CONFLICT_STATUS) {
      sentState.withoutPending().write(stateFile);
      throw conflictException(response, state, newLists, files);
    }
    OperatorClient.requireSuccess(response);
    OperatorApi.ListsAccepted accepted =
        ToolJson.read(response.body(), OperatorApi.ListsAccepted.class, "the response");
    sentState.withBaseRevision(accepted.revision()).withoutPending().write(stateFile);
    return accepted.revision();
  }

  /**
   * Polls until all instances have applied the revision; on a timeout, prints those that have not.
   */
  ExitCode waitUntilApplied(long revision, Duration maxWait) {
    String path = "/v1/lists/applied?revision=" + revision;
    long deadlineNanos = System.nanoTime() + maxWait.toNanos();
    while (true) {
      List<String> instancesBehind = client.get(path, OperatorApi.ListsApplied.class).behind();
      if (instancesBehind.isEmpty()) {
        console.err().println("revision " + revision + " is in force on all instances");
        return ExitCode.OK;
      }
      if (System.nanoTime() >= deadlineNanos) {
        console
            .err()
            .println("behind revision " + revision + ": " + String.join(", ", instancesBehind));
        return ExitCode.FAILED;
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }

  private static ToolException conflictException(
      OperatorClient.Response response, ListsState state, ListContents newLists, List<Path> files) {
    OperatorApi.Lists currentLists =
        ToolJson.read(response.body(), OperatorApi.Lists.class, "the conflict");
    String differences =
        String.join(System.lineSeparator(), ListContents.of(currentLists).differencesTo(newLists));
    String fileNames = files.stream().map(Path::toString).collect(Collectors.joining(" "));
    return ToolException.of(
        ExitCode.CONFLICT,
        "conflict: the change is based on revision %d, but revision %d is in force%n"
                .formatted(state.baseRevision(), currentLists.revision())
            + "applying the files now would make these changes:%n%s%n".formatted(differences)
            + "edit the files as needed, then run: coltsfootwheel lists apply --base-revision %d %s"
                .formatted(currentLists.revision(), fileNames));
  }
}
