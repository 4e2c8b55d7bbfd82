package io.coltsfootwheel.edge;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Request of an operator.
 *
 * @param parameters values of the path parameters by name
 * @param query query parameters by name, in order of appearance
 * @param body the complete body
 */
public record OperatorRequest(
    Map<String, String> parameters, Map<String, List<String>> query, byte[] body) {
  /**
   * Returns the first value of a query parameter.
   *
   * @param name the name
   * @return the value, or empty when the parameter is absent
   */
  public Optional<String> queryValue(String name) {
    return query.getOrDefault(name, List.of()).stream().findFirst();
  }
}
