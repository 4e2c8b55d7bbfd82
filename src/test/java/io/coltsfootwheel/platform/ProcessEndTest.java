package io.coltsfootwheel.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.eventlog.StandardStreams;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ProcessEndTest {
  private final PrintStream standardOutput = System.out;
  private final PrintStream standardError = System.err;
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final List<Integer> statuses = new ArrayList<>();
  private final ProcessEnd end = new ProcessEnd(installStreams(), statuses::add);

  private StandardStreams installStreams() {
    System.setOut(new PrintStream(output, true));
    return StandardStreams.install();
  }

  @AfterEach
  void restoreStreams() {
    System.setOut(standardOutput);
    System.setErr(standardError);
  }

  /** Guards against a record of a failure that only says "see the lines before". */
  @ParameterizedTest
  @ValueSource(classes = {OutOfMemoryError.class, IllegalStateException.class})
  void failedDecisionNamesItsEventItsErrorAndTheHeap(Class<? extends Throwable> type)
      throws ReflectiveOperationException {
    Throwable error = type.getConstructor(String.class).newInstance("for the test");
    end.failedDecision(Long.class, error);
    assertThat(statuses).containsExactly(1);
    assertThat(failureLine())
        .contains("\"part\":\"decision loop\"")
        .contains("\"decision_event\":\"Long\"")
        .contains("\"error\":\"" + type.getName() + ": for the test\"")
        .contains("\"at\":\"" + error.getStackTrace()[0] + "\"")
        .containsPattern("\"heap_used_mb\":\\d+,\"heap_max_mb\":\\d+}");
  }

  /** Guards against a failure that is not reported, because its stack trace cannot be logged. */
  @Test
  void failureThatCannotBePrintedIsReported() {
    end.failed("main thread", new UnprintableError());
    assertThat(statuses).containsExactly(1);
    assertThat(failureLine()).contains("\"part\":\"main thread\"").contains("UnprintableError");
  }

  private String failureLine() {
    return output
        .toString()
        .lines()
        .filter(line -> line.contains("\"process.failed\""))
        .findFirst()
        .orElse("");
  }

  private static final class UnprintableError extends Error {
    private static final long serialVersionUID = 1;

    @Override
    public void printStackTrace(PrintStream stream) {
      throw new OutOfMemoryError("for the test");
    }
  }
}
