package io.coltsfootwheel.tool;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Exit code and output of one run of the tool. */
record ToolRun(ExitCode exit, String out, String err) {
  static ToolRun of(String... arguments) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    Console console =
        new Console(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8));
    ExitCode exit = new CommandLineTool(console).run(arguments);
    return new ToolRun(
        exit, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }
}
