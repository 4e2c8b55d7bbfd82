package io.coltsfootwheel.control;

import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.Optional;

/**
 * Target as readers of the control state see it.
 *
 * @param spec what the target announced
 * @param status its replicated status
 * @param grant grant of the instance that dispatches to it, empty while it has no dispatcher
 */
public record TargetEntry(TargetSpec spec, TargetStatus status, Optional<DispatchGrant> grant) {}
