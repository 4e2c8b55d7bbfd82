package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.TargetId;
import java.nio.charset.StandardCharsets;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** HTTP endpoint for the announcement, drain and removal of targets. */
final class AnnouncementEndpoint {
  static final String PATH_PREFIX = "/v1/targets";

  private static final int STATUS_OK = 200;
  private static final int MAX_BODY_BYTES = 16 * 1024;
  private static final String DRAIN_SUFFIX = "/drain";
  private static final byte[] ACCEPTED_BODY =
      "{\"accepted\":true}".getBytes(StandardCharsets.UTF_8);

  private final TargetAnnouncements announcements;
  private final ResponseWriter writer;

  AnnouncementEndpoint(TargetAnnouncements announcements, ResponseWriter writer) {
    this.announcements = announcements;
    this.writer = writer;
  }

  Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return applyChange(request)
        .then(Mono.defer(() -> writer.writeJson(response, STATUS_OK, ACCEPTED_BODY)))
        .onErrorResume(error -> writer.writeFailure(response, error));
  }

  private Mono<Void> applyChange(HttpServerRequest request) {
    String pathSuffix = request.uri().substring(PATH_PREFIX.length());
    String method = request.method().name();
    if (pathSuffix.isEmpty() && method.equals("POST")) {
      return BodyReader.read(request, MAX_BODY_BYTES)
          .defaultIfEmpty(BodyReader.EMPTY_BODY)
          .flatMap(body -> announcements.announce(TargetSpecParser.parse(body)));
    }
    if (pathSuffix.endsWith(DRAIN_SUFFIX) && method.equals("POST")) {
      return drainOrRemove(
          pathSuffix.substring(0, pathSuffix.length() - DRAIN_SUFFIX.length()), true);
    }
    if (pathSuffix.length() > 1 && method.equals("DELETE")) {
      return drainOrRemove(pathSuffix, false);
    }
    return Mono.error(
        ColtsfootwheelException.of(
            ErrorKind.NOT_FOUND, "no endpoint " + method + " " + request.uri()));
  }

  private Mono<Void> drainOrRemove(String targetPath, boolean drain) {
    return Mono.defer(
        () -> {
          TargetId id = TargetId.of(targetPath.substring(Math.min(1, targetPath.length())));
          return drain ? announcements.drain(id) : announcements.remove(id);
        });
  }
}
