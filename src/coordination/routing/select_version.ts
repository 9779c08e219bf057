/** Chooses the version for a request: the cheapest that is good enough. */
import type {ControlView} from '../../protocol/control.ts';
import {
  formatVersion,
  type Customer,
  type Version,
} from '../../protocol/declaration.ts';
import type {RejectedVersion} from './completion_plan.ts';
import {findTarget, isAllowed, isWithdrawn} from './eligible_versions.ts';

export {isAllowed, isWithdrawn};

export interface VersionChoice {
  /** Versions that may serve the request, best first. */
  readonly candidates: readonly Version[];
  readonly rejected: readonly RejectedVersion[];
}

export interface SelectVersionOptions {
  readonly view: ControlView;
  readonly customer: Customer;
  /** The requested model, or `model/version`. */
  readonly model: string;
  /** The request class; `default` where the caller names none. */
  readonly requestClass?: string;
  /** The version that the session is pinned to. */
  readonly pinned?: string;
  /** Versions that an endpoint can serve now. */
  readonly served: ReadonlySet<string>;
}

/** Selects the versions that may serve a request, best first. */
export function selectVersion(options: SelectVersionOptions): VersionChoice {
  const rejected: RejectedVersion[] = [];
  const candidates: Version[] = [];
  const target =
    findTarget(options.customer, options.requestClass)?.quality ?? 0;
  for (const version of options.view.declaration?.versions ?? []) {
    if (!matchesModel(version, options.model)) continue;
    const reason = findObstacle(version, options, target);
    if (reason === null) candidates.push(version);
    else rejected.push({version: formatVersion(version), reason});
  }
  candidates.sort((a, b) => a.completion_price - b.completion_price);
  return {candidates, rejected};
}

function findObstacle(
  version: Version,
  options: SelectVersionOptions,
  target: number,
): string | null {
  const name = formatVersion(version);
  if (!isAllowed(options.customer, version)) return 'not allowed';
  if (isWithdrawn(options.view, version)) return 'withdrawn';
  if (options.pinned !== undefined && options.pinned !== name) {
    return 'session pinned elsewhere';
  }
  if (!options.served.has(name)) return 'no endpoint';
  if (options.pinned === name) return null;
  if (version.expected_quality < target) return 'below quality target';
  return null;
}

function matchesModel(version: Version, model: string): boolean {
  return version.model === model || formatVersion(version) === model;
}
