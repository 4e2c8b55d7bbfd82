package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.TargetId;
import java.nio.charset.StandardCharsets;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Endpoint of the announcements of targets. */
final class AnnouncementEndpoint {
  static final String PATH = "/v1/targets";

  private static final int OK = 200;
  private static final int MAX_BODY_BYTES = 16 * 1024;
  private static final String DRAIN = "/drain";
  private static final byte[] ACCEPTED = "{\"accepted\":true}".getBytes(StandardCharsets.UTF_8);

  private final TargetAnnouncements announcements;
  private final ResponseWriter writer;

  AnnouncementEndpoint(TargetAnnouncements announcements, ResponseWriter writer) {
    this.announcements = announcements;
    this.writer = writer;
  }

  Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return change(request)
        .then(Mono.defer(() -> writer.json(response, OK, ACCEPTED)))
        .onErrorResume(error -> writer.failure(response, error));
  }

  private Mono<Void> change(HttpServerRequest request) {
    String rest = request.uri().substring(PATH.length());
    String method = request.method().name();
    if (rest.isEmpty() && method.equals("POST")) {
      return BodyReader.read(request, MAX_BODY_BYTES)
          .defaultIfEmpty(BodyReader.EMPTY)
          .flatMap(body -> announcements.announce(TargetSpecParser.parse(body)));
    }
    if (rest.endsWith(DRAIN) && method.equals("POST")) {
      return withTarget(rest.substring(0, rest.length() - DRAIN.length()), true);
    }
    if (rest.length() > 1 && method.equals("DELETE")) {
      return withTarget(rest, false);
    }
    return Mono.error(
        ColtsfootwheelException.of(
            ErrorKind.NOT_FOUND, "no endpoint " + method + " " + request.uri()));
  }

  private Mono<Void> withTarget(String segment, boolean drain) {
    return Mono.defer(
        () -> {
          TargetId id = TargetId.of(segment.substring(Math.min(1, segment.length())));
          return drain ? announcements.drain(id) : announcements.remove(id);
        });
  }
}
