package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.CustomerId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** Queue that serves customers round-robin and each customer's requests in order of arrival. */
final class FairQueue {
  private final Map<Optional<CustomerId>, ArrayDeque<DispatchRequest>> requestsByCustomer =
      new HashMap<>();
  private final ArrayDeque<Optional<CustomerId>> customerOrder = new ArrayDeque<>();
  private int size;

  int size() {
    return size;
  }

  long count(Predicate<DispatchRequest> matches) {
    return requestsByCustomer.values().stream().flatMap(ArrayDeque::stream).filter(matches).count();
  }

  void add(DispatchRequest request) {
    ArrayDeque<DispatchRequest> requests = requestsByCustomer.get(request.customer());
    if (requests == null) {
      requests = new ArrayDeque<>();
      requestsByCustomer.put(request.customer(), requests);
      customerOrder.addLast(request.customer());
    }
    requests.addLast(request);
    size++;
  }

  /**
   * Removes the first eligible request of the next customer that has one, and moves each customer
   * tried on the way to the end of the order.
   */
  Optional<DispatchRequest> poll(Predicate<DispatchRequest> eligible) {
    for (int i = customerOrder.size(); i > 0; i--) {
      Optional<CustomerId> customer = customerOrder.removeFirst();
      Optional<DispatchRequest> found =
          removeFirst(requestsByCustomer.get(customer).iterator(), eligible);
      if (requestsByCustomer.get(customer).isEmpty()) {
        requestsByCustomer.remove(customer);
      } else {
        customerOrder.addLast(customer);
      }
      if (found.isPresent()) {
        return found;
      }
    }
    return Optional.empty();
  }

  /** Removes and returns all matching requests; their order between customers is unspecified. */
  List<DispatchRequest> removeIf(Predicate<DispatchRequest> matches) {
    List<DispatchRequest> removed = new ArrayList<>();
    if (size == 0) {
      return removed;
    }
    for (Optional<CustomerId> customer : List.copyOf(customerOrder)) {
      ArrayDeque<DispatchRequest> requests = requestsByCustomer.get(customer);
      Optional<DispatchRequest> found = removeFirst(requests.iterator(), matches);
      while (found.isPresent()) {
        removed.add(found.get());
        found = removeFirst(requests.iterator(), matches);
      }
      if (requests.isEmpty()) {
        requestsByCustomer.remove(customer);
        customerOrder.remove(customer);
      }
    }
    return removed;
  }

  private Optional<DispatchRequest> removeFirst(
      Iterator<DispatchRequest> requests, Predicate<DispatchRequest> matches) {
    while (requests.hasNext()) {
      DispatchRequest request = requests.next();
      if (matches.test(request)) {
        requests.remove();
        size--;
        return Optional.of(request);
      }
    }
    return Optional.empty();
  }
}
