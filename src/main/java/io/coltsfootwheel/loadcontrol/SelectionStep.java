package io.coltsfootwheel.loadcontrol;

/** Step of {@link TargetSelection} in which a target was found. */
public enum SelectionStep {
  /** The target joined and had not received a request of this entry. */
  FIRST_REQUEST,
  /** Sample of the entry's own availability zone. */
  OWN_ZONE,
  /** Sample of the other availability zones. */
  OTHER_ZONE,
  /** Examination of all targets; the response is expected within the objective. */
  EXAMINED,
  /** No target meets the objective, or all are suspect, leaving or already tried. */
  LAST_RESORT
}
