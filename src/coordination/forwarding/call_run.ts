/** The state of one request while it is served. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {AdmittedCall} from './admit_call.ts';
import type {Call, Header} from './call.ts';
import type {OpenEscalation} from './choose_model.ts';
import type {HeldAnswer} from './held_answer.ts';
import type {VersionSubject} from './choose_version.ts';
import type {AttemptResult} from './run_attempt.ts';

/** A whole answer that says that the request failed. */
export interface FailedAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** What happened to a request so far. */
export class CallRun {
  /** Endpoints that it was sent to. */
  readonly tried = new Set<string>();
  /** How often it may have run. */
  runs = 0;
  /** How often an endpoint said that it did not run it. */
  notRun = 0;
  /** How often it was sent, whatever came of it. */
  sends = 0;
  /** The model that the gateway chose first; `null` when the caller did. */
  model: string | null = null;
  /** The last model's opinion of its answer, 0 to 100. */
  confidence: number | null = null;
  /** Whether a larger model is asked since the first was not sure. */
  hasEscalated = false;
  /** How long the largest model reads the prompt as far as known, in ms. */
  largestPrefillMs = 0;
  /** When that model was asked, in ms since the request came. */
  escalatedMs: number | null = null;
  /** Whether the retry budget already paid for the next attempt. */
  isPaid = false;
  /** The last event that the caller has. */
  lastEventId: string | null;
  /** The time to the first event or the answer, in ms. */
  firstMs: number | null = null;
  /** The tokens that the last attempt had to read as far as known. */
  uncachedTokens = 0;
  /** How long the last attempt was expected to take until then, in ms. */
  expectedMs: number | null = null;
  /** Whether the last attempt may begin late although nothing is wrong. */
  mayBeginLate = false;
  /** How long the last attempt took to begin its answer, in ms. */
  beganMs: number | null = null;
  /** Open while a larger model is waited for. */
  escalation: OpenEscalation | null = null;
  /** Whether the held answer was delivered after all. */
  hasFallenBack = false;
  failedAnswer: FailedAnswer | null = null;
  outcome: string | null = null;
  status = 0;
  private heldAnswer: HeldAnswer | null = null;

  constructor(readonly admitted: AdmittedCall) {
    this.lastEventId = admitted.call.facts.lastEventId;
  }

  get call(): Call {
    return this.admitted.call;
  }

  get isOver(): boolean {
    return this.outcome !== null;
  }

  /** What decides on the version during a roll-out. */
  get versionSubject(): VersionSubject {
    const {session, attemptId} = this.call.facts;
    return {key: session ?? attemptId ?? '', isSession: session !== null};
  }

  /** The last part of the prompt that other requests share. */
  get sharedPrefixId(): string | null {
    return this.call.facts.prompt.at(-2)?.id ?? null;
  }

  /** The tokens of the parts that other requests share. */
  get sharedTokens(): number {
    const shared = this.call.facts.prompt.slice(0, -1);
    return shared.reduce((sum, {tokens}) => sum + tokens, 0);
  }

  /** Notes that the answer begins, so many ms after the request came. */
  recordFirstOutput(ms: number): void {
    if (this.firstMs !== null) return;
    this.firstMs = ms;
    this.escalation?.begin();
    this.dropHeld();
  }

  /** A less sure answer, kept until the larger model begins. */
  get held(): HeldAnswer | null {
    return this.heldAnswer?.isBroken === false ? this.heldAnswer : null;
  }

  /** Keeps an answer that may be delivered later. */
  hold(answer: HeldAnswer): void {
    this.heldAnswer = answer;
  }

  /** Takes the held answer out, to deliver it; `null` without a sound one. */
  takeHeld(): HeldAnswer | null {
    const {held} = this;
    this.heldAnswer = null;
    if (!held) return null;
    this.hasFallenBack = true;
    this.model = held.model;
    return held;
  }

  /** Notes what became of an attempt. */
  recordResult(endpoint: EndpointEntry, result: AttemptResult): void {
    this.tried.add(endpoint.id);
    if (result.type === 'withdrawn') return;
    this.sends++;
    if (result.type === 'not-run') this.notRun++;
    else if (result.type !== 'not-sent') this.runs++;
    this.isPaid = result.type === 'escalated';
    if (result.type === 'escalated') this.hasEscalated = true;
    if (result.type === 'failed') this.failedAnswer = result.answer;
    if (result.type === 'left') this.finish('left', 0);
  }

  /** Ends the run; later calls change nothing. */
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
