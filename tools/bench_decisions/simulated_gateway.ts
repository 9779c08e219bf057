/** The decision components of one gateway, wired to simulated engines. */
import type {Endpoint} from '../../src/coordination/membership/endpoint_table.ts';
import {createLimiter} from '../../src/coordination/limits/create_limiter.ts';
import {measureCapacity} from '../../src/coordination/limits/measure_capacity.ts';
import type {Limiter} from '../../src/coordination/limits/permit.ts';
import {
  createRetryBudget,
  type RetryBudget,
} from '../../src/coordination/limits/retry_budget.ts';
import {QualityTable} from '../../src/coordination/quality/quality_table.ts';
import {RatingMonitor} from '../../src/coordination/quality/rating_monitor.ts';
import {
  createRatingSampler,
  type RatingSampler,
} from '../../src/coordination/quality/rating_sampler.ts';
import {formatClassBucket} from '../../src/coordination/quality/class_bucket.ts';
import {EvidenceCollector} from '../../src/coordination/rollout/evidence_collector.ts';
import type {CompletionPlan} from '../../src/coordination/routing/completion_plan.ts';
import {
  createEndpointRouter,
  type LearningEndpointRouter,
} from '../../src/coordination/routing/create_endpoint_router.ts';
import {planCompletion} from '../../src/coordination/routing/plan_completion.ts';
import type {Clock} from '../../src/protocol/clock.ts';
import type {ControlView} from '../../src/protocol/control.ts';
import {formatVersion} from '../../src/protocol/declaration.ts';
import {createEndpointSelector, type Policy} from './policies.ts';
import type {Profile, WorkItem} from './workload.ts';

export interface GatewayOptions {
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: () => number;
  readonly endpoints: Endpoint[];
  readonly policy: Policy;
  readonly profile: Profile;
  readonly getView: () => ControlView;
}

/** The deadline of every request. */
export const DEADLINE_MS = 20_000;

export class SimulatedGateway {
  readonly router: LearningEndpointRouter;
  readonly limiter: Limiter;
  readonly retries: RetryBudget = createRetryBudget();
  readonly quality: QualityTable;
  readonly rating: RatingMonitor;
  readonly sampler: RatingSampler;
  readonly evidence: EvidenceCollector;
  readonly select: ReturnType<typeof createEndpointSelector>;

  constructor(readonly options: GatewayOptions) {
    const {clock, random, endpoints, policy, getView} = options;
    const router = createEndpointRouter({
      ...options,
      gateway: options.name,
      listEndpoints: () => endpoints,
    });
    this.router = router;
    this.quality = new QualityTable({clock});
    this.rating = new RatingMonitor(clock, true);
    this.sampler = createRatingSampler({clock, random});
    this.evidence = new EvidenceCollector(options.name, '1');
    this.select = createEndpointSelector({policy, router, endpoints, random});
    this.limiter = createLimiter({
      clock,
      random,
      getCapacity: pool =>
        measureCapacity(router.measurePool(pool), {
          pool: getView().declaration?.pools.find(each => each.name === pool),
          gateways: options.profile.dataCentres.length,
        }),
    });
  }

  /** Plans a request; simple policies replace the plan by one version. */
  plan(item: WorkItem, pinned: string | undefined): CompletionPlan {
    const {policy, profile, getView, random} = this.options;
    const view = getView();
    const kind = profile.classes[item.classIndex]!;
    const plan = planCompletion({
      view,
      random,
      pinned: policy.version === 'planned' ? pinned : undefined,
      customer: view.declaration!.customers[item.customer]!,
      model: 'draft',
      requestClass: kind.name,
      routingKey: item.session ?? item.id,
      sticky: item.session !== undefined,
      served: this.router.listServed(),
      streamed: kind.streamed,
      deadlineMs: DEADLINE_MS,
      promptTokens: item.promptTokens,
      completionTokens: kind.answerTokens,
      estimateQuality: (version, requestClass) =>
        this.quality.estimate(
          version,
          formatClassBucket(requestClass, item.promptTokens),
        ),
      estimateSpeed: version =>
        this.router.estimateSpeed(version.pool, formatVersion(version)),
      rating: this.rating.state,
    });
    if (policy.version === 'planned') return plan;
    const versionName = policy.version === 'cheapest' ? 'small' : 'large';
    const version = view.declaration!.versions.find(
      each => each.name === versionName,
    )!;
    const step = {version, release: 'direct', minimumScore: 0} as const;
    return {...plan, steps: [{...step, whenUnrated: 'release'}]};
  }
}
