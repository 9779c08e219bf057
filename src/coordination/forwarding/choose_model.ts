/**
 * Chooses which size of a model answers a request.
 *
 * The smallest model goes first: it is cheap and fast, and says how sure it is.
 * Where it is not sure enough, the largest one answers, as long as there is
 * room for it.
 */

/** The confidence from which an answer is accepted, 0 to 100. */
const ACCEPT_FROM = 48;

/** Returns the model to ask; `null` when the caller's word stands. */
export function chooseModel(
  models: readonly string[],
  {hasEscalated}: {readonly hasEscalated: boolean},
): string | null {
  return (hasEscalated ? models.at(-1) : models[0]) ?? null;
}

/** Whether a larger model should answer instead of one with this confidence. */
export function shouldEscalate(
  models: readonly string[],
  model: string | null,
  confidence: number,
): boolean {
  if (model === null || model === models.at(-1)) return false;
  return confidence < ACCEPT_FROM;
}
