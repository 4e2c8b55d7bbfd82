package io.coltsfootwheel.model;

import java.util.Map;
import java.util.Optional;

/**
 * Plans of the customers and allowances of the plans, as edited by operators.
 *
 * @param revision log index of the change that set the lists, 0 for the initial empty lists
 * @param plans plan of each customer
 * @param allowances allowance of each plan
 */
public record PolicyLists(
    long revision, Map<CustomerId, PlanName> plans, Map<PlanName, Allowance> allowances) {
  /** Copies both lists, in the order of their keys. */
  public PolicyLists {
    plans = SortedCopy.ofMap(plans);
    allowances = SortedCopy.ofMap(allowances);
  }

  /**
   * Returns the lists before the first change; they limit no customer.
   *
   * @return empty lists with revision 0
   */
  public static PolicyLists empty() {
    return new PolicyLists(0, Map.of(), Map.of());
  }

  /**
   * Returns the allowance of a customer.
   *
   * @param customer the customer
   * @return the allowance of its plan, or empty when the customer has no plan
   */
  public Optional<Allowance> allowanceOf(CustomerId customer) {
    return Optional.ofNullable(plans.get(customer)).map(allowances::get);
  }
}
