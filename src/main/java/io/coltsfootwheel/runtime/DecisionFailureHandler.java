package io.coltsfootwheel.runtime;

/** Receives the failure of a {@link DecisionLoop}. */
@FunctionalInterface
public interface DecisionFailureHandler {
  /**
   * Called once, on the decision thread. The heap may be exhausted, so the arguments are objects
   * that exist already.
   *
   * @param eventType class of the event whose processing has failed
   * @param failure what the reducer or the driver has thrown
   */
  void failed(Class<?> eventType, Throwable failure);
}
