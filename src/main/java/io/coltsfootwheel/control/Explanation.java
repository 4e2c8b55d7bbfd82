package io.coltsfootwheel.control;

/**
 * Why a part of the control state is as it is.
 *
 * @param index log index of the command
 * @param subject what was changed, such as {@code target:ledger-3} or {@code slots:card-ledger}
 * @param reason the reason that the command stated
 */
public record Explanation(long index, String subject, String reason) {}
