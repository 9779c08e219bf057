/**
 * A roll-out under a seeded load, without a network.
 *
 * The gateways' evidence of both versions is counted by the code of a gateway
 * and reaches the judge late. If all requests belong to sessions, the new version
 * gets none until sessions move.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {ServiceRollout} from '../../protocol/core_service.ts';
import {countTrialEndpoints} from '../forwarding/select_trial_endpoints.ts';
import {VersionEvidenceCounter} from '../forwarding/version_evidence.ts';
import {decideRolloutStep} from './decide_rollout.ts';

/** How often the judge looks, in ms. */
const STEP_MS = 200;

/** How old the evidence is, in ms. */
const EVIDENCE_AGE_MS = 1_000;

/** The first share of a new version. */
const CANARY_SHARE = 0.105;

/** The requests that a new version may get. */
export const EXPOSURE_LIMIT = {share: 0.15, extra: 30};

/** The time that an idle engine of the old version needs for a prompt, in ms. */
const WORK_MS = 60;

/** The part of its work that the old version saves by cached prompts. */
const CACHED_SHARE = 0.3;

/** The time before the roll-out in which usual times are learned, in ms. */
const LEARN_MS = 3_000;

export interface SimulatedRolloutOptions {
  readonly seed: number;
  /** Requests a second. */
  readonly perSecond: number;
  readonly durationMs: number;
  /** How many times slower the new version is; 1 by default. */
  readonly slowness?: number;
  /** The share of its answers that is slower; 1 by default. */
  readonly slowShare?: number;
  /** The share of failures of both versions; 0.01 by default. */
  readonly failureShare?: number;
  /** The mean wait in units of work; 1 by default, 3 in a burst. */
  readonly load?: number;
  /** Whether all requests belong to sessions; true by default. */
  readonly hasSessions?: boolean;
  /** Endpoints of each version; 3 by default. */
  readonly endpoints?: number;
  /** Failures of the new version under load; none by default. */
  readonly underLoad?: FailuresUnderLoad;
}

export interface FailuresUnderLoad {
  /** The share of its answers that fail under load. */
  readonly failureShare: number;
  /** The load of an endpoint from which they fail, as a part of that when complete. */
  readonly fromLoad: number;
}

export interface SimulatedRolloutResult {
  readonly state: 'complete' | 'reverted' | 'running';
  readonly endedAtMs: number;
  /** Requests of the new version and of both in the whole time of the roll-out. */
  readonly targetRequests: number;
  readonly requests: number;
}

/** Plays one roll-out to its end. */
export function simulateRollout({
  seed,
  perSecond,
  durationMs,
  slowness = 1,
  slowShare = 1,
  failureShare = 0.01,
  load = 1,
  hasSessions = true,
  endpoints = 3,
  underLoad = {failureShare: 0, fromLoad: 0},
}: SimulatedRolloutOptions): SimulatedRolloutResult {
  const generator = xoroshiro128plus(seed);
  const draw = () => uniformFloat64(generator);
  const drawExponential = () => -Math.log(1 - draw());
  const counter = new VersionEvidenceCounter();
  let rollout: ServiceRollout = {
    service: 'model',
    target: 'v2',
    state: 'running',
    stable: 'v1',
    rejected: [],
    share: 0,
    movesSessions: false,
    beganAtMs: 0,
    durationMs,
  };
  const routes = ['letters', 'notes', 'titles'];
  const computeLoad = () =>
    (rollout.share * endpoints) / countTrialEndpoints(endpoints, rollout.share);
  const drawFailure = (isTarget: boolean) =>
    draw() < failureShare ||
    (isTarget &&
      computeLoad() >= underLoad.fromLoad &&
      draw() < underLoad.failureShare);
  const drawAnswer = (version: string) => {
    const size = 0.2 + drawExponential();
    const isTarget = version === 'v2';
    const isSlow = isTarget && draw() < slowShare;
    const cached = isTarget ? 0 : CACHED_SHARE * draw();
    const engineMs = WORK_MS * size * (isSlow ? slowness : 1);
    // New engines have shorter queues.
    const waitMs =
      WORK_MS * load * drawExponential() ** 2 * (isTarget ? 0.5 : 1);
    return {
      service: 'model',
      version,
      route: routes[Math.floor(draw() * 3)] ?? '',
      model: 'small',
      isFailure: drawFailure(isTarget),
      beganMs: engineMs * (1 - cached) + waitMs,
      expectedMs: WORK_MS * size * (1 - cached),
    };
  };
  const pending: Array<{atMs: number; answer: ReturnType<typeof drawAnswer>}> =
    [];
  const stepShare = (perSecond * STEP_MS) / 1_000;
  for (let ms = 0; ms < LEARN_MS; ms += STEP_MS) {
    for (let left = stepShare; draw() < left; left--) {
      counter.record(drawAnswer('v1'), {
        isRunning: false,
        movesSessions: false,
      });
    }
  }
  let requests = 0;
  let targetRequests = 0;
  let watchedSince = 0;
  let endedAtMs = durationMs;
  for (let nowMs = 0; nowMs <= durationMs; nowMs += STEP_MS) {
    for (let left = stepShare; draw() < left; left--) {
      const canMove = rollout.movesSessions || !hasSessions;
      const takesTarget = canMove && draw() < rollout.share;
      requests++;
      if (takesTarget) targetRequests++;
      const answer = drawAnswer(takesTarget ? 'v2' : 'v1');
      const atMs = nowMs + answer.beganMs + EVIDENCE_AGE_MS;
      pending.push({atMs, answer});
    }
    if (rollout.state !== 'running') continue;
    for (const {answer} of pending.filter(({atMs}) => atMs <= nowMs)) {
      counter.record(answer, {
        isRunning: true,
        movesSessions: rollout.movesSessions,
      });
    }
    pending.splice(
      0,
      pending.length,
      ...pending.filter(({atMs}) => atMs > nowMs),
    );
    const decision = decideRolloutStep({
      rollout,
      evidence: counter.list(() => true),
      paces: counter.listPaces(() => true),
      nowMs,
      hasEndpoints: true,
      canaryShare: CANARY_SHARE,
      limit: EXPOSURE_LIMIT,
      watchedMs: nowMs - watchedSince,
    });
    if (decision.type === 'share') {
      const {share, movesSessions} = decision;
      rollout = {...rollout, share, movesSessions};
      watchedSince = nowMs;
    }
    if (decision.type === 'complete' || decision.type === 'revert') {
      const isComplete = decision.type === 'complete';
      const state = isComplete ? 'complete' : 'reverted';
      rollout = {...rollout, state, share: isComplete ? 1 : 0};
      endedAtMs = nowMs;
    }
  }
  return {state: rollout.state, endedAtMs, targetRequests, requests};
}
