package io.coltsfootwheel.tool;

import io.coltsfootwheel.api.OperatorApi;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** Sends a change of the lists under an identity that is kept until the change is answered. */
final class ListsApplier {
  private static final int CONFLICT_STATUS = 409;
  private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

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
   * @throws ToolException with {@link ExitCode#CONFLICT} and the next command when the base
   *     revision is not in force, or with the exit code of another failure
   */
  long apply(ListsState state, ListContents wanted, List<Path> files) {
    String digest = wanted.digest(state.baseRevision());
    String changeId = state.changeIdFor(digest, newChangeId.get());
    ListsState sent = state.withPending(changeId, digest);
    sent.write(stateFile);
    OperatorApi.ListsChange change =
        new OperatorApi.ListsChange(
            changeId, state.baseRevision(), wanted.plans(), wanted.allowances());
    OperatorClient.Response response = client.post("/v1/lists", ToolJson.line(change));
    if (response.status() == CONFLICT_STATUS) {
      sent.answered().write(stateFile);
      throw conflict(response, state, wanted, files);
    }
    OperatorClient.requireSuccess(response);
    OperatorApi.ListsAccepted accepted =
        ToolJson.read(response.body(), OperatorApi.ListsAccepted.class, "the response");
    sent.withBase(accepted.revision()).answered().write(stateFile);
    return accepted.revision();
  }

  /** Polls until no instance is behind; names those that are behind when the time is over. */
  ExitCode waitUntilApplied(long revision, Duration limit) {
    String path = "/v1/lists/applied?revision=" + revision;
    long endNanos = System.nanoTime() + limit.toNanos();
    while (true) {
      List<String> behind = client.get(path, OperatorApi.ListsApplied.class).behind();
      if (behind.isEmpty()) {
        console.err().println("revision " + revision + " is in force on all instances");
        return ExitCode.OK;
      }
      if (System.nanoTime() >= endNanos) {
        console.err().println("behind revision " + revision + ": " + String.join(", ", behind));
        return ExitCode.FAILED;
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  private static ToolException conflict(
      OperatorClient.Response response, ListsState state, ListContents wanted, List<Path> files) {
    OperatorApi.Lists inForce =
        ToolJson.read(response.body(), OperatorApi.Lists.class, "the conflict");
    String difference =
        String.join(System.lineSeparator(), ListContents.of(inForce).differenceTo(wanted));
    String names = files.stream().map(Path::toString).collect(Collectors.joining(" "));
    return ToolException.of(
        ExitCode.CONFLICT,
        "conflict: the change is based on revision %d, but revision %d is in force%n"
                .formatted(state.baseRevision(), inForce.revision())
            + "applying the files now would make these changes:%n%s%n".formatted(difference)
            + "edit the files as needed, then run: coltsfootwheel lists apply --base-revision %d %s"
                .formatted(inForce.revision(), names));
  }
}
