/** Chooses which size of a model answers a request. */

export interface ChooseModelOptions {
  /** Models that may answer, smallest first. */
  readonly models: readonly string[];
  /** Open requests of all gateways for each slot of the service. */
  readonly utilization: number;
}

/** Up to this utilization the largest model answers. */
const LARGEST_UP_TO = 0.6;

/** Up to this utilization the middle model answers. */
const MIDDLE_UP_TO = 0.9;

/** Returns the model; `null` when the caller's word stands. */
export function chooseModel({
  models,
  utilization,
}: ChooseModelOptions): string | null {
  const largest = models.length - 1;
  if (largest < 0) return null;
  if (utilization <= LARGEST_UP_TO) return models[largest] ?? null;
  const middle = Math.floor(largest / 2);
  if (utilization <= MIDDLE_UP_TO) return models[middle] ?? null;
  return models[0] ?? null;
}
