package io.coltsfootwheel.control;

import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.Optional;

/**
 * Target as the control state holds it.
 *
 * @param spec what the target announced
 * @param status its replicated status
 * @param grant the instance that dispatches to it
 */
public record TargetEntry(TargetSpec spec, TargetStatus status, Optional<DispatchGrant> grant) {}
