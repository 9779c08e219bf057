/** Picks the endpoint, the model and the urgency of the next attempt. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Clock} from '../../protocol/clock.ts';
import type {AdmissionHooks} from '../fair_admission/admission_hooks.ts';
import {computeModelUrgency} from '../fair_admission/compute_urgency.ts';
import type {GatewayView} from '../gateway/gateway_view.ts';
import {createStartKey} from '../quarantine/endpoint_ends.ts';
import type {Quarantine} from '../quarantine/quarantine.ts';
import type {CallRun} from './call_run.ts';
import {CandidateDescriber} from '../prompt_cache/candidate_describer.ts';
import {chooseEndpoint} from './choose_endpoint.ts';
import {chooseModel} from './choose_model.ts';
import {chooseVersion} from './choose_version.ts';
import {drawJitterMs} from './plan_refusal.ts';
import type {EndpointHealth} from './endpoint_health.ts';
import type {EndpointNotices} from './endpoint_notices.ts';
import type {PrefillBacklog} from './prefill_backlog.ts';
import type {AttemptChoice} from './run_attempt.ts';
import type {SelectionOptions} from '../selection/endpoint_rules.ts';
import {selectTrialEndpoints} from './select_trial_endpoints.ts';

export interface EndpointPickerOptions
  extends SelectionOptions, AdmissionHooks {
  readonly view: GatewayView;
  readonly health: EndpointHealth;
  readonly notices: EndpointNotices;
  readonly quarantine: Pick<Quarantine, 'listEnded'>;
  readonly prefillBacklog: PrefillBacklog;
  readonly clock: Clock;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly region: string;
  readonly dataCentre: string;
  /** The region of a data centre; `null` when it is unknown. */
  readonly findRegion: (dataCentre: string) => string | null;
}

export interface PlanOptions {
  /** Whether an endpoint may be chosen; all may by default. */
  readonly isAllowed?: (endpoint: EndpointEntry) => boolean;
}

export class EndpointPicker {
  private readonly candidates: CandidateDescriber;

  constructor(private readonly options: EndpointPickerOptions) {
    this.candidates = new CandidateDescriber(options);
  }

  /** Picks the next attempt; `null` when no endpoint can accept it. */
  pick(run: CallRun): AttemptChoice | null {
    const choice = this.planNext(run);
    if (choice) this.record(run, choice);
    return choice;
  }

  /** Plans the next attempt without recording it. */
  planNext(run: CallRun, options: PlanOptions = {}): AttemptChoice | null {
    const {models} = run.admitted.route;
    const model = run.call.facts.isModelOpen
      ? chooseModel(models, {asksLargest: this.asksLargest(run)})
      : null;
    return this.plan(run, model, options);
  }

  /** Records that a planned attempt will be made. */
  record(run: CallRun, choice: AttemptChoice): void {
    this.candidates.record(run, choice);
  }

  /**
   * Plans an attempt with a model without recording it; `null` when no endpoint
   * can accept it.
   */
  plan(
    run: CallRun,
    model: string | null,
    {isAllowed = () => true}: PlanOptions = {},
  ): AttemptChoice | null {
    const {
      region,
      dataCentre,
      findRegion,
      random,
      prefillBacklog,
      clock,
      speeds,
      computeUrgency = computeModelUrgency,
    } = this.options;
    const {service, route} = run.admitted;
    const allowed = this.listUntried(run).filter(isAllowed);
    const endpoints = selectTrialEndpoints(allowed, {
      rollout: this.options.view.findRollout(service.name),
      isUsable: endpoint => this.options.health.isUsable(endpoint),
      isNear: endpoint => findRegion(endpoint.dataCentre) === region,
    });
    const chosen = chooseEndpoint({
      service,
      candidates: this.candidates.describe(run, model, endpoints),
      region,
      dataCentre,
      findRegion,
      leftMs: run.call.receivedAt + route.objectiveMs - clock.monotonic(),
      random,
      weighsHops: speeds.isReported(service.name),
    });
    if (!chosen) return null;
    const {endpoint, plan, waitMs, time} = chosen;
    const {fixedMs} = prefillBacklog.getRate(service.name, model);
    return {
      endpoint,
      model,
      urgency: computeUrgency(run.admitted, model),
      backlogMs: waitMs,
      plan,
      timeFactor: time.factor,
      expectedMs: (waitMs + plan.ms + fixedMs) * time.factor,
    };
  }

  /** Endpoints that accept requests and that this run has not tried. */
  listUntried(run: CallRun): EndpointEntry[] {
    const {notices, rules, quarantine} = this.options;
    const ended = quarantine.listEnded(run);
    return this.listEligible(run).filter(
      endpoint =>
        notices.mayReceive(endpoint) &&
        rules.hasRoom(endpoint) &&
        (ended.size === 0 || !ended.has(createStartKey(endpoint))),
    );
  }

  /** Whether an endpoint picked earlier still accepts requests. */
  mayReceive(endpoint: EndpointEntry): boolean {
    const {view, notices} = this.options;
    const known = view.findEndpoint(endpoint.id);
    return (
      known?.state === 'ready' &&
      known.startedAtMs === endpoint.startedAtMs &&
      notices.mayReceive(endpoint)
    );
  }

  /**
   * The time until the first requested back-off ends, in ms; `null` when no
   * eligible endpoint with room requested one.
   */
  findBackoffMs(run: CallRun): number | null {
    const {notices, rules} = this.options;
    const backoffs = this.listEligible(run)
      .filter(each => !notices.isLeaving(each) && rules.hasRoom(each))
      .map(endpoint => notices.getBackoffMs(endpoint))
      .filter(ms => ms > 0);
    return backoffs.length > 0 ? Math.min(...backoffs) : null;
  }

  /**
   * How long the request would wait for an endpoint that may accept it, in ms;
   * `null` when there is none.
   */
  findWaitMs(run: CallRun): number | null {
    const {notices, rules} = this.options;
    const backoffMs = this.findBackoffMs(run);
    const waits = this.listEligible(run)
      .filter(each => notices.mayReceive(each))
      .map(each => rules.getWaitMs(each))
      .filter(ms => ms > 0 && ms < Infinity);
    if (backoffMs !== null) waits.push(backoffMs + drawJitterMs(this.options));
    return waits.length > 0 ? Math.min(...waits) : null;
  }

  /**
   * Plans when the caller of a refused request should return, in ms from now;
   * `null` when no limit of an eligible endpoint is the reason.
   */
  planReturnMs(run: CallRun): number | null {
    const {notices, rules} = this.options;
    const full = this.listEligible(run).filter(
      each => !notices.isLeaving(each) && !rules.hasRoom(each),
    );
    const returnMs = rules.planReturnMs(run.admitted.service.name, full);
    if (returnMs === null) return null;
    const backoffs = full.map(each => notices.getBackoffMs(each));
    return Math.max(returnMs, Math.min(...backoffs));
  }

  /**
   * Endpoints that this run has not tried, also those in a back-off or without
   * room in their limit.
   */
  private listEligible(run: CallRun): EndpointEntry[] {
    const {view, rules} = this.options;
    const service = run.admitted.service.name;
    const allows = chooseVersion(view.findRollout(service), run.versionSubject);
    return view
      .listEndpoints(service)
      .filter(
        endpoint =>
          endpoint.state === 'ready' &&
          allows(endpoint.version) &&
          !run.tried.has(endpoint.id) &&
          rules.isAllowed(run, endpoint),
      );
  }

  /**
   * Whether to ask the largest model. It is not asked again once an attempt at
   * it failed and the objective has passed: the smallest answers sooner.
   */
  private asksLargest({
    hasEscalated,
    hasFallenBack,
    runs,
    admitted,
    call,
  }: CallRun): boolean {
    if (hasFallenBack) return false;
    if (!hasEscalated || runs < 2) return hasEscalated;
    const elapsedMs = this.options.clock.monotonic() - call.receivedAt;
    return elapsedMs < admitted.route.objectiveMs;
  }
}
