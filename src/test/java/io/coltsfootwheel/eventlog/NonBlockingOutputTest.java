package io.coltsfootwheel.eventlog;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class NonBlockingOutputTest {
  private static final int LINE_COUNT = 10_000;
  private static final long WRITE_TIMEOUT_MILLIS = 20_000;

  /** Target that blocks until it is released. */
  private static final class BlockedTarget extends OutputStream {
    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    @Override
    public void write(int value) {
      reached.countDown();
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      written.write(value);
    }
  }

  /** Guards against network threads that wait for the reader of standard output. */
  @Test
  void writesToABlockedTargetAreDroppedAndCounted() throws Exception {
    BlockedTarget target = new BlockedTarget();
    NonBlockingOutput output = new NonBlockingOutput("test", target);
    PrintStream stream = new PrintStream(output, true);
    stream.println("line 0");
    target.reached.await();
    for (int i = 1; i < LINE_COUNT; i++) {
      stream.println("line " + i);
    }
    target.released.countDown();
    output.awaitWritten(WRITE_TIMEOUT_MILLIS);
    stream.println("last line");
    output.awaitWritten(WRITE_TIMEOUT_MILLIS);
    String text = target.written.toString(StandardCharsets.UTF_8);
    assertThat(text).startsWith("line 0\n").contains("writes to this output were dropped");
    assertThat(text).endsWith("last line\n");
  }

  /** Guards against a thread that ends when the reader of standard output has gone. */
  @Test
  void linesAreWrittenAgainAfterAFailure() throws Exception {
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    OutputStream target =
        new OutputStream() {
          private boolean hasFailed;

          @Override
          public void write(int value) throws IOException {
            if (!hasFailed) {
              hasFailed = true;
              throw new IOException("broken pipe");
            }
            written.write(value);
          }
        };
    NonBlockingOutput output = new NonBlockingOutput("test", target);
    output.write(new byte[] {'a', '\n'}, 0, 2);
    output.write(new byte[] {'b', '\n'}, 0, 2);
    output.awaitWritten(WRITE_TIMEOUT_MILLIS);
    assertThat(written.toString(StandardCharsets.UTF_8)).endsWith("b\n");
  }
}
