package io.coltsfootwheel.eventlog;

import java.io.PrintStream;

/**
 * Standard output and standard error that never block the threads that write to them, also when
 * nobody reads a pipe behind them. Libraries write their logs there from network threads.
 *
 * <p>Usage: {@code StandardStreams streams = StandardStreams.install()}, before any logger exists.
 */
public final class StandardStreams {
  private static final long LAST_LINES_TIMEOUT_MILLIS = 150;

  private final PrintStream directOutput;
  private final NonBlockingOutput output;
  private final NonBlockingOutput error;

  private StandardStreams(PrintStream directOutput, PrintStream directError) {
    this.directOutput = directOutput;
    this.output = new NonBlockingOutput("standard-output", directOutput);
    this.error = new NonBlockingOutput("standard-error", directError);
  }

  /**
   * Replaces {@link System#out} and {@link System#err} by streams that do not block.
   *
   * @return the streams
   */
  public static StandardStreams install() {
    StandardStreams streams = new StandardStreams(System.out, System.err);
    System.setOut(new PrintStream(streams.output, true));
    System.setErr(new PrintStream(streams.error, true));
    return streams;
  }

  /**
   * Returns the original standard output, for threads that may block.
   *
   * @return the stream
   */
  public PrintStream directOutput() {
    return directOutput;
  }

  /**
   * Waits until what was written to both streams has left the process, or a time has passed for
   * each of them.
   *
   * @param timeoutMillis the time for each stream, in milliseconds
   * @throws InterruptedException when the calling thread is interrupted
   */
  public void awaitWritten(long timeoutMillis) throws InterruptedException {
    output.awaitWritten(timeoutMillis);
    error.awaitWritten(timeoutMillis);
  }

  /** Gives the last lines a limited time to leave the process; an interrupt ends the wait. */
  public void awaitLastLines() {
    try {
      awaitWritten(LAST_LINES_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
