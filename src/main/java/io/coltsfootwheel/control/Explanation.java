package io.coltsfootwheel.control;

/**
 * Reason for a change of the control state.
 *
 * @param index log index of the command that made the change
 * @param subject what was changed, such as {@code target:ledger-3} or {@code slots:card-ledger}
 * @param reason reason that the command carried, or that describes the command
 */
public record Explanation(long index, String subject, String reason) {}
