/** What a plan weighs of one version for one request. */
import type {Version} from '../../protocol/declaration.ts';
import type {QualityEstimate} from '../quality/quality_estimate.ts';
import type {PlanCompletionOptions, SpeedEstimate} from './completion_plan.ts';

export interface VersionFacts {
  readonly version: Version;
  readonly quality: QualityEstimate;
  readonly speed: SpeedEstimate;
  /** The expected cost in micro-units of currency. */
  readonly cost: number;
  /** The expected time of the whole answer. */
  readonly totalMs: number;
}

/** Gathers the facts of a version. */
export function gatherFacts(
  version: Version,
  options: PlanCompletionOptions,
): VersionFacts {
  const speed = options.estimateSpeed(version);
  const {promptTokens, completionTokens} = options;
  return {
    version,
    speed,
    quality: options.estimateQuality(
      version,
      options.requestClass ?? 'default',
    ),
    cost: computeCost(version, {promptTokens, completionTokens}),
    totalMs: speed.firstTokenMs + speed.tokenGapMs * completionTokens,
  };
}

/** The price of a prompt and its answer in micro-units of currency. */
export function computeCost(
  version: Version,
  usage: {readonly promptTokens: number; readonly completionTokens: number},
): number {
  const prompt = usage.promptTokens * version.prompt_price;
  const completion = usage.completionTokens * version.completion_price;
  return (prompt + completion) / 1_000;
}
