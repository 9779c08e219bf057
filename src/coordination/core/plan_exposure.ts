/**
 * Plans which share of its service's requests a new version may get.
 *
 * The requests of a version in the whole time of its roll-out are limited, also
 * those after it is completed: its failures may begin only then. What it got
 * already is known from the gateways' evidence, which is late; the requests to
 * come are estimated from those since the roll-out began.
 */

/** How old the gateways' evidence is, in ms. */
const EVIDENCE_AGE_MS = 1_000;

/** The part of the extra requests that is planned; the rest is for bursts. */
const PLANNED_EXTRA = 0.5;

/** The requests that a version may get, whether it is good or not. */
export interface ExposureLimit {
  /** The share of all requests in the time of the roll-out. */
  readonly share: number;
  /** The requests beyond that share. */
  readonly extra: number;
}

export interface ExposureView {
  readonly limit: ExposureLimit;
  readonly durationMs: number;
  /** The time since the roll-out began, as a fraction of the duration. */
  readonly progress: number;
  /** Until when a share is held, as a fraction of the duration. */
  readonly heldUntil: number;
  /** The share of all requests that the version gets after that. */
  readonly laterShare: number;
  /** The present share of the version. */
  readonly share: number;
  /** The known answers of the version and of all versions. */
  readonly targetAnswers: number;
  readonly answers: number;
}

/**
 * Computes the share of the requests that a version may hold until a later time;
 * below 0 if it has used up its limit.
 */
export function computeAffordableShare({
  limit,
  durationMs,
  progress,
  heldUntil,
  laterShare,
  share,
  targetAnswers,
  answers,
}: ExposureView): number {
  const evidenceAge = EVIDENCE_AGE_MS / durationMs;
  const heldFor = heldUntil - progress;
  if (answers === 0 || progress <= evidenceAge || heldFor <= 0) return 0;
  const expected = answers / (progress - evidenceAge);
  const allowed = limit.share * expected + limit.extra * PLANNED_EXTRA;
  const unseen = share * evidenceAge * expected;
  const later = laterShare * expected;
  return (allowed - targetAnswers - unseen - later) / (expected * heldFor);
}
