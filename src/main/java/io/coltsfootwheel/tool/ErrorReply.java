package io.coltsfootwheel.tool;

import com.fasterxml.jackson.annotation.JsonAlias;
import java.util.Objects;

/**
 * Body of a response with an error status.
 *
 * @param code code of the error kind, empty if the body has none
 * @param detail what is wrong
 * @param remedy how to correct it
 */
record ErrorReply(String code, @JsonAlias("message") String detail, String remedy) {
  ErrorReply {
    code = Objects.requireNonNullElse(code, "");
    detail = Objects.requireNonNullElse(detail, "the response has no detail");
    remedy = Objects.requireNonNullElse(remedy, "check the daemon's log");
  }
}
