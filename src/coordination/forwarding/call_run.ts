/** Tracks one request from its admission to its outcome. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {
  MAX_PART_ID_CHARACTERS,
  MAX_WATCHED_PARTS,
  type SuspectId,
} from '../../protocol/suspect.ts';
import {computeRequestIdentity} from '../quarantine/request_identity.ts';
import type {AdmittedCall} from './admit_call.ts';
import type {Call, Header} from './call.ts';
import type {OpenEscalation} from './choose_model.ts';
import type {StreamEvent} from './event_splitter.ts';
import type {HeldAnswer} from './held_answer.ts';
import type {VersionSubject} from './choose_version.ts';
import type {AttemptChoice, AttemptResult} from './run_attempt.ts';

/**
 * Refused connections of a request that cost no retry, since nothing arrived.
 * Bounds the connections that it opens while no endpoint runs.
 */
const MAX_FREE_CONNECTS = 16;

/** A complete error answer of an endpoint. */
export interface FailedAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** Why a request cannot be sent to another endpoint now. */
export type BlockReason =
  /** The deadline has passed. */
  | 'deadline'
  /** The gateway shuts down, and it is not expected to end in time. */
  | 'stopping'
  /** It may not run again, or all attempts of its route were used. */
  | 'attempts'
  /** The retry budget of the service is used up. */
  | 'budget'
  /** The quarantine does not permit it. */
  | 'quarantine'
  /** No endpoint that was not tried accepts it, or all are silent. */
  | 'no-endpoint'
  /** It cannot be resumed. */
  | 'not-resumable';

/** The permission to send a request that is or has suspects. */
export interface Trial {
  /** Identifies it at the core; `undefined` if the core is older. */
  readonly id: number | undefined;
  readonly suspects: readonly SuspectId[];
}

/** The state of one request across its attempts. */
export class CallRun {
  /** Ids of the endpoints that were tried. */
  readonly tried = new Set<string>();
  /** Attempts that may have run. */
  runs: number;
  /** Attempts that endpoints reported as not run. */
  notRun = 0;
  /** Attempts whose connection was refused. */
  notSent = 0;
  /** All attempts, except those withdrawn before anything was sent. */
  sends = 0;
  /** The model of the last attempt; `null` when the caller chose it. */
  model: string | null = null;
  /** The last model's confidence in its answer, 0 to 100. */
  confidence: number | null = null;
  /** Whether the request was escalated to a larger model. */
  hasEscalated = false;
  /** The largest model's expected prefill time, in ms. */
  largestPrefillMs = 0;
  /** When the request was escalated, in ms after it was received. */
  escalatedMs: number | null = null;
  /** Whether the next attempt may be or have suspects. */
  isPermitted = false;
  /** The suspects that this request alone may have at an endpoint. */
  trial: Trial | null = null;
  /** Why it may not go to an endpoint; `null` if it may. */
  quarantine: 'condemned' | 'suspected' | null = null;
  /** Why the last attempt had no successor; `null` if it had one. */
  blockedBy: BlockReason | null = null;
  /** Whether the retry budget was already charged for the next attempt. */
  isPaid = false;
  /** Whether an attempt whose answer had begun was given up as silent. */
  isGivenUp = false;
  /** The further successors that were asked after that. */
  furtherSuccessors = 0;
  /** The time to the first event or the answer, in ms. */
  firstMs: number | null = null;
  /** The time to the last event that was relayed, in ms. */
  lastOutputMs: number | null = null;
  /** The expected uncached prompt tokens of the last attempt. */
  uncachedTokens = 0;
  /** The expected time until the last attempt began its answer, in ms. */
  expectedMs: number | null = null;
  /** The time factor of the endpoint of the last attempt. */
  timeFactor = 1;
  /** Whether the last attempt may begin late without having failed. */
  mayBeginLate = false;
  /** The time until the last attempt began its answer, in ms. */
  beganMs: number | null = null;
  /** The escalation; `null` unless a larger model was asked. */
  escalation: OpenEscalation | null = null;
  /** Whether the held answer was delivered as a fallback. */
  hasFallenBack = false;
  failedAnswer: FailedAnswer | null = null;
  outcome: string | null = null;
  status = 0;
  /** The ids of the prompt parts that requests share: all but the last. */
  readonly sharedPartIds: readonly string[];
  /** The shared parts that are watched for what they do to engines. */
  readonly watchedParts: readonly SuspectId[];
  private lastId: string | null;
  /** The number of the last event's id, which may be long. */
  private lastNumber: number;
  /** Endpoints that had no event left after the last one. */
  private readonly endedAt = new Set<string>();
  private reserved: AttemptChoice | null = null;
  private reservedTrial: Trial | null = null;
  private heldAnswer: HeldAnswer | null = null;
  private knownIdentity: string | null = null;

  constructor(readonly admitted: AdmittedCall) {
    const {lastEventId, prompt} = admitted.call.facts;
    this.runs = admitted.call.relayed?.runs ?? 0;
    this.lastId = lastEventId;
    this.lastNumber = Number(lastEventId);
    this.sharedPartIds = prompt.slice(0, -1).map(({id}) => id);
    this.watchedParts = this.sharedPartIds
      .slice(0, MAX_WATCHED_PARTS)
      .map(id => ({kind: 'part', part: id.slice(0, MAX_PART_ID_CHARACTERS)}));
  }

  get call(): Call {
    return this.admitted.call;
  }

  /** The id of the last event that the caller has; `null` before the first. */
  get lastEventId(): string | null {
    return this.lastId;
  }

  /** Records the id of the last event that was sent to the caller. */
  recordLastEvent(id: string): void {
    this.lastId = id;
    this.lastNumber = Number(id);
    this.endedAt.clear();
  }

  /** Whether an endpoint had no event left after the last one. */
  hasEndedAt({id}: Pick<EndpointEntry, 'id'>): boolean {
    return this.endedAt.has(id);
  }

  /** Whether any endpoint had no event left after the last one. */
  get mayHaveEnded(): boolean {
    return this.endedAt.size > 0;
  }

  /**
   * Records that an endpoint has no event left; true once another one said so, too.
   * A faulty one may end any stream that it is to resume.
   */
  confirmEnd({id}: Pick<EndpointEntry, 'id'>): boolean {
    this.endedAt.add(id);
    return this.endedAt.size > 1;
  }

  /** Whether an event comes after those that the caller has. */
  isNext({id}: Pick<StreamEvent, 'id'>): boolean {
    if (this.lastId === null || id === null) return true;
    return Number(id) > this.lastNumber;
  }

  /** What is equal for each sending of the same request. */
  get identity(): string {
    this.knownIdentity ??= computeRequestIdentity(this.admitted);
    return this.knownIdentity;
  }

  /** What may crash an endpoint that begins it, the request itself first. */
  listWatched(): readonly SuspectId[] {
    return [{kind: 'request', part: this.identity}, ...this.watchedParts];
  }

  get isTrial(): boolean {
    return this.trial !== null;
  }

  get isOver(): boolean {
    return this.outcome !== null;
  }

  /** The key that selects the version during a roll-out. */
  get versionSubject(): VersionSubject {
    const {session, attemptId} = this.call.facts;
    return {key: session ?? attemptId ?? '', isSession: session !== null};
  }

  /** The id of the last shared prompt part, which identifies the prefix. */
  get sharedPrefixId(): string | null {
    return this.sharedPartIds.at(-1) ?? null;
  }

  /** The tokens of the shared prefix. */
  get sharedTokens(): number {
    const shared = this.call.facts.prompt.slice(0, -1);
    return shared.reduce((sum, {tokens}) => sum + tokens, 0);
  }

  /** Records output for the caller, `ms` after the request was received. */
  recordOutput(ms: number): void {
    this.lastOutputMs = ms;
    if (this.firstMs !== null) return;
    this.firstMs = ms;
    this.escalation?.begin();
    this.dropHeld();
  }

  /** The intact answer that is held while a larger model is asked. */
  get held(): HeldAnswer | null {
    return this.heldAnswer?.isBroken === false ? this.heldAnswer : null;
  }

  /** Holds an answer that may be delivered as a fallback. */
  hold(answer: HeldAnswer): void {
    this.heldAnswer = answer;
  }

  /** Removes and returns the held answer for delivery; `null` if not intact. */
  takeHeld(): HeldAnswer | null {
    const {held} = this;
    this.heldAnswer = null;
    if (!held) return null;
    this.hasFallenBack = true;
    this.model = held.model;
    return held;
  }

  /** Reserves the next attempt, for which the retry budget was charged. */
  reserve(
    choice: AttemptChoice,
    {hasBegun, trial = null}: {hasBegun: boolean; trial?: Trial | null},
  ): void {
    this.reserved = choice;
    this.reservedTrial = trial;
    this.isGivenUp ||= hasBegun;
  }

  /** Removes and returns the reserved attempt; `null` if there is none. */
  takeReserved(): AttemptChoice | null {
    const {reserved, reservedTrial} = this;
    this.reserved = null;
    this.reservedTrial = null;
    if (reservedTrial) {
      this.trial = reservedTrial;
      this.isPermitted = true;
    }
    if (reserved) this.isPaid = true;
    return reserved;
  }

  /** Records the result of an attempt. */
  recordResult(endpoint: EndpointEntry, result: AttemptResult): void {
    this.tried.add(endpoint.id);
    if (result.type === 'withdrawn') return;
    this.sends++;
    if (result.type === 'not-run') this.notRun++;
    else if (result.type === 'not-sent') this.notSent++;
    else this.runs++;
    const isFree =
      result.type === 'not-sent' && this.notSent <= MAX_FREE_CONNECTS;
    // Nothing else is left of an answer that was given up.
    const isRefused = result.type === 'not-run' && this.isGivenUp;
    this.isPaid = result.type === 'escalated' || isFree || isRefused;
    if (result.type === 'escalated') this.hasEscalated = true;
    if (result.type === 'failed') this.failedAnswer = result.answer;
    if (result.type === 'left') this.finish('left', 0);
  }

  /** Finishes the run; later calls have no effect. */
  finish(outcome: string, status: number): void {
    if (this.isOver) return;
    this.outcome = outcome;
    this.escalation?.[Symbol.dispose]();
    this.dropHeld();
    this.status = status;
  }

  private dropHeld(): void {
    this.heldAnswer?.[Symbol.dispose]();
    this.heldAnswer = null;
  }
}
