/** Estimates of one version's quality, speed and cost for one request. */
import type {Version} from '../../protocol/declaration.ts';
import type {QualityEstimate} from '../quality/quality_estimate.ts';
import type {PlanCompletionOptions, SpeedEstimate} from './completion_plan.ts';

export interface VersionFacts {
  readonly version: Version;
  readonly quality: QualityEstimate;
  readonly speed: SpeedEstimate;
  /** The expected cost in micro-units of currency. */
  readonly cost: number;
  /** The expected time of the complete answer. */
  readonly totalMs: number;
}

/** Estimates the quality, speed and cost of a version for a request. */
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

/** Computes the price of a prompt and its answer, in micro-units. */
export function computeCost(
  version: Version,
  usage: {readonly promptTokens: number; readonly completionTokens: number},
): number {
  const prompt = usage.promptTokens * version.prompt_price;
  const completion = usage.completionTokens * version.completion_price;
  return (prompt + completion) / 1_000;
}
