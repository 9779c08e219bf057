/** Draws what a history of losses of core daemons is played with. */
import type {Draws} from '../../protocol/seeded_draws.ts';

/** How a host is lost. */
export type LossKind =
  /** Removed for good, without warning. */
  | 'remove'
  /** Removed for good after an orderly stop. */
  | 'stop'
  /** Back at the old address with an empty disk. */
  | 'wipe'
  /** Back with its disk. */
  | 'restart'
  | 'freeze'
  | 'cut';

/** Which host is lost next. */
export type VictimChoice = 'drawn' | 'leader' | 'oldest' | 'newest';

export interface TurnoverSetting {
  readonly hosts: number;
  readonly regions: number;
  /** How many hosts may be lost at the same time. */
  readonly toleratedLosses: number;
  readonly losses: number;
  readonly kinds: readonly LossKind[];
  readonly victim: VictimChoice;
  /** The longest time from the end of one loss to the next. */
  readonly maxPauseMs: number;
  /** The share of removed hosts whose successor starts before they are lost. */
  readonly earlySuccessorShare: number;
  readonly stateBytes: number;
  readonly snapshotEntries: number;
  readonly maxSyncMs: number;
  /** The share of hosts whose syncs take `maxSyncMs`; fast ones take 3 ms. */
  readonly slowDiskShare: number;
  readonly network: {
    readonly drop: number;
    readonly duplicate: number;
    readonly resend: number;
    readonly maxDelayMs: number;
  };
}

const LASTING: readonly LossKind[] = ['remove', 'stop'];
const EMPTY: readonly LossKind[] = [...LASTING, 'wipe'];
const PASSING: readonly LossKind[] = ['restart', 'freeze', 'cut'];

const ALL: readonly LossKind[] = [...EMPTY, ...PASSING];

/** The share of histories that replace all hosts in turn. */
const TURNOVER_SHARE = 0.2;
const MAX_TURNOVERS = 3;

const MIN_HOSTS = 3;
const MAX_HOSTS = 9;
const MIN_LOSSES = 3;
const MAX_LOSSES = 30;

/** Snapshots up to this size are to be installed in time for the bounds. */
export const MAX_USUAL_STATE_BYTES = 1_000_000;

/** Describes a setting in a line. */
export function describeSetting(setting: TurnoverSetting): string {
  const {hosts, regions, toleratedLosses, losses, kinds, network} = setting;
  return [
    `hosts ${hosts} regions ${regions} tolerates ${toleratedLosses}`,
    `losses ${losses} of ${setting.victim} by ${kinds.join('+')}`,
    `pause ${setting.maxPauseMs} early ${setting.earlySuccessorShare}`,
    `state ${setting.stateBytes} every ${setting.snapshotEntries}`,
    `sync ${setting.maxSyncMs} for ${setting.slowDiskShare}`,
    `drop ${network.drop} resend ${network.resend} delay ${network.maxDelayMs}`,
  ].join(', ');
}

/** Whether a loss of this kind takes the disk. */
export function isDiskLoss(kind: LossKind): boolean {
  return EMPTY.includes(kind);
}

/** Draws a setting. */
export function drawSetting(draws: Draws): TurnoverSetting {
  const {next, between, log} = draws;
  const pick = <T>(choices: readonly T[]) =>
    choices[between(0, choices.length - 1)] as T;
  const hosts = between(MIN_HOSTS, MAX_HOSTS);
  const isTurnover = next() < TURNOVER_SHARE;
  const victim = isTurnover
    ? 'oldest'
    : pick<VictimChoice>(['drawn', 'leader', 'oldest', 'newest']);
  const kinds = isTurnover
    ? pick([LASTING, EMPTY])
    : pick([LASTING, EMPTY, PASSING, ALL, ALL]);
  const losses = isTurnover
    ? hosts * between(1, MAX_TURNOVERS)
    : Math.round(log(MIN_LOSSES, MAX_LOSSES));
  const stateBytes = drawStateBytes(draws);
  return {
    hosts,
    regions: between(2, 3),
    toleratedLosses: hosts === MAX_HOSTS ? 2 : 1,
    losses,
    kinds,
    victim,
    maxPauseMs: pick([0, 0, 2_000, 6_000]),
    earlySuccessorShare: pick([0, 0.3, 1]),
    stateBytes,
    snapshotEntries: pick(stateBytes > 0 ? [10, 50] : [10, 50, 4_096]),
    maxSyncMs: Math.round(log(5, 60)),
    slowDiskShare: pick([0, 0.3, 1]),
    network: {
      drop: pick([0, 0, 0.002, 0.01]),
      duplicate: pick([0, 0, 0.02]),
      resend: pick([0, 0, 0.005, 0.02]),
      maxDelayMs: pick([4, 4, 20]),
    },
  };
}

function drawStateBytes({next, log}: Draws): number {
  if (next() < 0.4) return 0;
  if (next() < 0.8) return Math.round(log(10_000, MAX_USUAL_STATE_BYTES));
  return Math.round(log(2_000_000, 4_000_000));
}
