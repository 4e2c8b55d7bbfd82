package io.coltsfootwheel.bench;

import io.netty.channel.ChannelOption;
import java.util.concurrent.atomic.AtomicInteger;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Minimal Reactor Netty proxy, the reference in the output of {@link MeasurePath}. Requests go to
 * the targets in turn.
 *
 * <p>Usage: {@code java ... io.coltsfootwheel.bench.PassThroughProxy PORT TARGET...}.
 */
public final class PassThroughProxy {
  private static final int MAX_CONNECTIONS = 256;

  private final String[] targets;
  private final AtomicInteger nextTarget = new AtomicInteger();
  private final HttpClient client =
      HttpClient.create(ConnectionProvider.create("targets", MAX_CONNECTIONS))
          .disableRetry(true)
          .option(ChannelOption.TCP_NODELAY, true);

  private PassThroughProxy(String... targets) {
    this.targets = targets;
  }

  /**
   * Runs the proxy until the process ends.
   *
   * @param arguments port, then the addresses of the targets
   */
  public static void main(String[] arguments) {
    String[] targets = new String[arguments.length - 1];
    System.arraycopy(arguments, 1, targets, 0, targets.length);
    PassThroughProxy proxy = new PassThroughProxy(targets);
    DisposableServer server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(Integer.parseInt(arguments[0]))
            .handle(proxy::forward)
            .bindNow();
    server.onDispose().block();
  }

  private Publisher<Void> forward(HttpServerRequest request, HttpServerResponse response) {
    String target = targets[Math.floorMod(nextTarget.getAndIncrement(), targets.length)];
    return client
        .headers(headers -> headers.add(request.requestHeaders()).remove("Host"))
        .request(request.method())
        .uri("http://" + target + request.uri())
        .send(request.receive().retain())
        .responseConnection(
            (head, connection) -> {
              response.status(head.status()).headers(head.responseHeaders());
              return Mono.from(response.send(connection.inbound().receive().retain()));
            })
        .then();
  }
}
