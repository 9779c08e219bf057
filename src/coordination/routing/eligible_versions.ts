/** Determines which versions may serve a request, and why others may not. */
import type {ControlView} from '../../protocol/control.ts';
import {
  formatVersion,
  type Customer,
  type Target,
  type Version,
} from '../../protocol/declaration.ts';
import type {
  PlanCompletionOptions,
  RejectedVersion,
} from './completion_plan.ts';

/** The inputs that determine whether a version may serve a request. */
export type EligibilityOptions = Pick<
  PlanCompletionOptions,
  'view' | 'customer' | 'model' | 'pinned' | 'served'
>;

/** The versions that may serve a request. */
export interface EligibleVersions {
  /** In the order of the declaration. */
  readonly versions: readonly Version[];
  readonly rejected: readonly RejectedVersion[];
}

/**
 * Lists the requested versions that the customer may use, that are not
 * withdrawn, that match the session's pin and that an endpoint serves.
 */
export function listEligible(options: EligibilityOptions): EligibleVersions {
  const versions: Version[] = [];
  const rejected: RejectedVersion[] = [];
  for (const version of options.view.declaration?.versions ?? []) {
    if (!matchesModel(version, options.model)) continue;
    const reason = findRejectionReason(version, options);
    if (reason === null) versions.push(version);
    else rejected.push({version: formatVersion(version), reason});
  }
  return {versions, rejected};
}

/** Whether the declaration or a committed withdrawal covers the version. */
export function isWithdrawn(view: ControlView, version: Version): boolean {
  const name = formatVersion(version);
  if (version.withdrawn) return true;
  return view.withdrawals.some(each => each.version === name);
}

/** Whether the customer's declaration allows the version. */
export function isAllowed(customer: Customer, version: Version): boolean {
  const name = formatVersion(version);
  return customer.versions.some(
    allowed => allowed === name || allowed === `${version.model}/*`,
  );
}

/** Returns the customer's target for a class, or else its default target. */
export function findTarget(
  customer: Customer,
  requestClass = 'default',
): Target | undefined {
  return (
    customer.targets.find(each => each.class === requestClass) ??
    customer.targets.find(each => each.class === 'default')
  );
}

function findRejectionReason(
  version: Version,
  options: EligibilityOptions,
): string | null {
  const name = formatVersion(version);
  if (!isAllowed(options.customer, version)) return 'not allowed';
  if (isWithdrawn(options.view, version)) return 'withdrawn';
  if (options.pinned !== undefined && options.pinned !== name) {
    return 'session pinned elsewhere';
  }
  if (!options.served.has(name)) return 'no endpoint';
  return null;
}

function matchesModel(version: Version, model: string): boolean {
  return version.model === model || formatVersion(version) === model;
}
