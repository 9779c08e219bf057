/**
 * Relays requests through another gateway while this one does not reach the
 * endpoints of their service.
 *
 * The other gateway serves a relayed request as any other, with what is left of
 * its time and with the runs that it may have had, and relays it no further. Its
 * answer is the caller's. When the connection between the gateways breaks off,
 * the outcome is unknown, and the request is not sent again.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Gateway} from '../../protocol/gateway_entry.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {
  AttemptOutcome,
  Call,
  CallerSink,
  EndpointAnswer,
} from '../forwarding/call.ts';
import {breakOff} from '../forwarding/break_off.ts';
import type {BlockReason, CallRun} from '../forwarding/call_run.ts';
import {handleAbort} from '../forwarding/handle_abort.ts';
import {refuseCall} from '../forwarding/refuse.ts';
import type {Shutdown} from '../forwarding/shutdown.ts';
import {startWatchdog} from '../forwarding/watchdog.ts';
import {chooseGateway} from './choose_gateway.ts';
import type {Reachability} from './reachability.ts';

/** Gateways that a request is offered to, one after the other. */
const MAX_GATEWAYS = 12;

/** Requests that this gateway has open at another one at most. */
const MAX_OPEN = 32;

/** How long none is asked for a service after all that were asked refused. */
const NO_PATH_MS = 1_000;

/** How long a gateway that could not serve a relayed request is avoided. */
const AVOID_MS = 3_000;

export interface RelayOptions {
  /** The address of the other gateway for callers. */
  readonly address: string;
  /** What is left of the request's time, in ms. */
  readonly budgetMs: number;
  /** The attempts of the request that may have run. */
  readonly runs: number;
  readonly mayReuseConnection: boolean;
  /** Whether it may still be sent; asked right before the first byte. */
  readonly mayBegin: () => boolean;
  readonly signal: AbortSignal;
}

/** Sends a request to another gateway; resolves once the headers arrived. */
export type SendRelayed = (
  call: Call,
  options: RelayOptions,
) => Promise<AttemptOutcome>;

export interface CallRelayOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly reach: Pick<Reachability, 'isLost'>;
  /** Lists the gateways that serve callers, as last reported. */
  readonly listGateways: () => readonly Gateway[];
  /** Finds the only regions that may serve a request; `null` if all may. */
  readonly findHomes: (run: CallRun) => ReadonlySet<string> | null;
  /** The address of this gateway for callers. */
  readonly address: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly send: SendRelayed;
}

export interface RelayedRun {
  readonly sink: CallerSink;
  readonly shutdown: Shutdown;
  /** Whether another attempt is allowed; charges the retry budget if so. */
  readonly canRetry: () => boolean;
}

type AbortReason = 'left' | 'deadline' | 'interrupted';

/** Why an answer that broke off has no successor. */
const BLOCK_REASONS: Readonly<
  Record<Exclude<AbortReason, 'left'> | 'broken', BlockReason>
> = {
  deadline: 'deadline',
  interrupted: 'stopping',
  broken: 'not-resumable',
};

interface BrokenRelay {
  readonly sink: CallerSink;
  /** Why this gateway ended it; `null` if its connection broke off. */
  readonly aborted: AbortReason | null;
  readonly gateway: string;
}

export class CallRelay {
  private readonly avoidedUntil = new Map<string, number>();
  /** Until when no gateway is asked, by service and homes: none had a path. */
  private readonly noPathUntil = new Map<string, number>();
  private readonly openCounts = new Map<string, number>();
  /** The gateways that served a relayed request and were not avoided since. */
  private readonly answeredBy = new Set<string>();

  constructor(private readonly options: CallRelayOptions) {}

  /** Whether a relayed request has to be refused: it goes no further. */
  isStuck({admitted, call}: CallRun): boolean {
    return !!call.relayed && this.options.reach.isLost(admitted.service.name);
  }

  /**
   * Relays a request and finishes its run. Resolves to false, with nothing sent,
   * when it may not be sent again or no other gateway takes it.
   */
  async send(run: CallRun, options: RelayedRun): Promise<boolean> {
    if (run.runs > 0 && !options.canRetry()) return false;
    run.isPaid = run.runs > 0;
    for (let tried = 0; tried < MAX_GATEWAYS; tried++) {
      const gateway = this.chooseGateway(run);
      if (gateway === null) break;
      const {address} = gateway;
      if (run.call.signal.aborted || this.computeLeftMs(run) <= 0) return false;
      const outcome = await this.sendTo(gateway, run, options);
      const {metrics, logger} = this.options;
      metrics.count('relayed', 1, {outcome});
      logger.info('Relays a request to another gateway.', {
        request: run.call.facts.attemptId,
        service: run.admitted.service.name,
        gateway: address,
        outcome,
      });
      // The homes of the request changed; the gateway is as good as before.
      if (outcome === 'withdrawn') continue;
      if (outcome === 'answered') this.answeredBy.add(address);
      if (outcome !== 'refused') return true;
      this.avoid(address);
    }
    const now = this.options.clock.monotonic();
    this.noPathUntil.set(this.createPathKey(run), now + NO_PATH_MS);
    return false;
  }

  /** Whether a request should be relayed: its service cannot be reached. */
  isDue(run: CallRun, sink: Pick<CallerSink, 'hasBegun'>): boolean {
    const {admitted, call, held} = run;
    const {name: service} = admitted.service;
    if (call.relayed || held || sink.hasBegun) return false;
    if (!this.options.reach.isLost(service)) return false;
    const until = this.noPathUntil.get(this.createPathKey(run)) ?? -Infinity;
    return this.options.clock.monotonic() >= until;
  }

  private async sendTo(
    gateway: Gateway,
    run: CallRun,
    {sink, shutdown}: RelayedRun,
  ): Promise<'refused' | 'withdrawn' | 'answered' | 'broken' | AbortReason> {
    const {clock, send} = this.options;
    const {call, admitted} = run;
    const leftMs = this.computeLeftMs(run);
    const controller = new AbortController();
    let aborted: AbortReason | null = null;
    const abort = (reason: AbortReason) => {
      aborted ??= reason;
      controller.abort(reason);
    };
    using _left = handleAbort(call.signal, () => abort('left'));
    using _interrupted = shutdown.handleAbort(() => abort('interrupted'));
    using _deadline = startWatchdog(clock, leftMs, () => abort('deadline'));
    using _open = this.open(gateway.address);
    const outcome = await send(call, {
      address: gateway.address,
      budgetMs: Math.max(1, Math.floor(leftMs)),
      runs: run.runs,
      mayReuseConnection: admitted.isRepeatable,
      mayBegin: () => this.maySend(run, gateway),
      signal: controller.signal,
    });
    const isRefused = outcome.type === 'not-sent' || outcome.type === 'not-run';
    if (isRefused && aborted === null) return 'refused';
    if (outcome.type === 'withdrawn' && aborted === null) return 'withdrawn';
    if (!isRefused && outcome.type !== 'withdrawn') run.runs++;
    if (outcome.type === 'answer') {
      const isWhole = await this.relayAnswer(run, sink, outcome.answer);
      if (isWhole) {
        run.finish('relayed', outcome.answer.status);
        return 'answered';
      }
    }
    this.finishBroken(run, {sink, aborted, gateway: gateway.address});
    return aborted ?? 'broken';
  }

  /** The time until the request must be answered, in ms. */
  private computeLeftMs({admitted}: CallRun): number {
    return admitted.deadline - this.options.clock.monotonic();
  }

  /** Writes the answer as it arrives; false if it breaks off. */
  private async relayAnswer(
    run: CallRun,
    sink: CallerSink,
    {status, headers, body}: EndpointAnswer,
  ): Promise<boolean> {
    sink.begin(status, headers);
    try {
      for await (const piece of body) {
        run.recordOutput(this.options.clock.monotonic() - run.call.receivedAt);
        await sink.write(piece);
      }
    } catch {
      // Reported as the outcome of the relayed request.
      return false;
    }
    sink.end();
    return true;
  }

  private finishBroken(
    run: CallRun,
    {sink, aborted, gateway}: BrokenRelay,
  ): void {
    if (aborted === 'left') return run.finish('left', 0);
    if (sink.hasBegun) {
      const reason = BLOCK_REASONS[aborted ?? 'broken'];
      return breakOff(this.options, run, {sink, reason, gateway});
    }
    const reason = aborted === 'deadline' ? 'deadline' : 'broken';
    run.finish(reason, refuseCall(sink, {reason}));
  }

  /** Chooses another gateway that may serve a request; `null` if none can. */
  private chooseGateway(run: CallRun): Gateway | null {
    const {clock, listGateways, address: self} = this.options;
    const now = clock.monotonic();
    const others = listGateways().filter(
      each => each.open && each.address !== self && this.maySend(run, each),
    );
    return chooseGateway(others, {
      ...this.options,
      isAvoided: ({address}) => (this.avoidedUntil.get(address) ?? 0) > now,
      isProven: ({address}) => this.answeredBy.has(address),
      countOpen: ({address}) => this.countOpen(address),
      maxOpen: MAX_OPEN,
    });
  }

  /** Whether a gateway is in a home region of a request, if it has any. */
  private maySend(run: CallRun, {region}: Gateway): boolean {
    return this.options.findHomes(run)?.has(region) ?? true;
  }

  /** Names the gateways that may serve a request: some have homes of their own. */
  private createPathKey(run: CallRun): string {
    const homes = this.options.findHomes(run);
    const {name} = run.admitted.service;
    return homes === null ? name : JSON.stringify([name, [...homes].sort()]);
  }

  private avoid(gateway: string): void {
    const now = this.options.clock.monotonic();
    for (const [address, until] of this.avoidedUntil) {
      if (until <= now) this.avoidedUntil.delete(address);
    }
    this.avoidedUntil.set(gateway, now + AVOID_MS);
    this.answeredBy.delete(gateway);
  }

  private countOpen(gateway: string): number {
    return this.openCounts.get(gateway) ?? 0;
  }

  private open(gateway: string): Disposable {
    this.openCounts.set(gateway, this.countOpen(gateway) + 1);
    return {
      [Symbol.dispose]: () => {
        const count = this.countOpen(gateway) - 1;
        if (count > 0) this.openCounts.set(gateway, count);
        else this.openCounts.delete(gateway);
      },
    };
  }
}
