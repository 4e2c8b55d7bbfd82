package io.coltsfootwheel.tool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** HTTP server on loopback that sends scripted replies in order and repeats the last one. */
final class StubServer implements AutoCloseable {
  /** Scripted reply; status 0 closes the connection without a response. */
  record Reply(int status, Map<String, String> headers, String body) {
    static Reply of(int status, String body) {
      return new Reply(status, Map.of(), body);
    }
  }

  private final Deque<Reply> replies = new ArrayDeque<>();
  private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
  private final DisposableServer server;

  StubServer(Reply... scriptedReplies) {
    replies.addAll(List.of(scriptedReplies));
    server = HttpServer.create().host("127.0.0.1").port(0).handle(this::handle).bindNow();
  }

  String address() {
    return "127.0.0.1:" + server.port();
  }

  /** Returns the method, path and body of each request, separated by spaces. */
  List<String> requests() {
    return List.copyOf(requests);
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return request
        .receive()
        .aggregate()
        .asString()
        .defaultIfEmpty("")
        .flatMap(
            body -> {
              requests.add(request.method() + " " + request.uri() + " " + body);
              Reply reply = nextReply();
              if (reply.status() == 0) {
                request.withConnection(connection -> connection.channel().close());
                return Mono.never();
              }
              reply.headers().forEach(response::header);
              return response.status(reply.status()).sendString(Mono.just(reply.body())).then();
            });
  }

  private synchronized Reply nextReply() {
    return replies.size() > 1 ? replies.pop() : replies.peek();
  }
}
