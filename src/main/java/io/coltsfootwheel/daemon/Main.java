package io.coltsfootwheel.daemon;

import io.coltsfootwheel.eventlog.StandardStreams;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.settings.DaemonSettings;
import io.coltsfootwheel.settings.SettingsException;
import io.coltsfootwheel.settings.SettingsFile;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.logging.log4j.LogManager;
import reactor.core.publisher.Mono;
import sun.misc.Signal;

/**
 * Main class of the daemon.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for wrong usage or settings.
 */
public final class Main {
  /** First of the static fields, because a logger keeps the stream that it finds. */
  private static final StandardStreams STREAMS = StandardStreams.install();

  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  private Main() {}

  /**
   * Runs the daemon until the process is asked to end or a decision fails.
   *
   * @param args {@code --config FILE}
   */
  public static void main(String[] args) {
    int status = run(args);
    STREAMS.awaitLastLines();
    System.exit(status);
  }

  private static int run(String[] args) {
    try {
      DaemonSettings settings = SettingsFile.read(configFile(args));
      System.setProperty("coltsfootwheel.log.format", settings.logFormat().text());
      ignoreHangup();
      return serve(new Daemon(settings));
    } catch (ParseException | SettingsException e) {
      System.err.println(e.getMessage());
      return EXIT_USAGE;
    } catch (ColtsfootwheelException e) {
      System.err.println("coltsfootwheeld: " + e.getMessage());
      return EXIT_FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_FAILED;
    } catch (RuntimeException e) {
      System.err.println("coltsfootwheeld: unexpected failure: " + e);
      return EXIT_FAILED;
    }
  }

  /** Without a handler, the JVM would end the process at SIGHUP. */
  private static void ignoreHangup() {
    Signal.handle(
        new Signal("HUP"),
        signal ->
            LogManager.getLogger(Main.class)
                .info("SIGHUP ignored: settings are read only when the daemon starts"));
  }

  private static int serve(Daemon daemon) throws InterruptedException {
    Thread shutdown = new Thread(() -> shutDown(daemon), "shutdown");
    Runtime.getRuntime().addShutdownHook(shutdown);
    try {
      daemon.start();
    } catch (RuntimeException e) {
      // The hook would end the process as after a graceful shutdown.
      Runtime.getRuntime().removeShutdownHook(shutdown);
      throw e;
    }
    Mono.defer(() -> Mono.delay(daemon.refreshHealth())).repeat().subscribe();
    daemon.awaitFailure();
    STREAMS.awaitLastLines();
    Runtime.getRuntime().halt(EXIT_FAILED);
    return EXIT_FAILED;
  }

  private static void shutDown(Daemon daemon) {
    daemon.shutDown();
    LogManager.shutdown();
    STREAMS.awaitLastLines();
    Runtime.getRuntime().halt(0);
  }

  private static Path configFile(String[] args) throws ParseException {
    Options options =
        new Options()
            .addOption(
                Option.builder()
                    .longOpt("config")
                    .hasArg()
                    .argName("FILE")
                    .required()
                    .desc("TOML file with the settings, see docs/CONFIG.md")
                    .get());
    CommandLine line = new DefaultParser().parse(options, args);
    return Path.of(line.getOptionValue("config"));
  }
}
