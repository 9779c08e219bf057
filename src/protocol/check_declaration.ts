/** Validates a declaration as a whole, beyond its schema. */
import {formatVersion, type Declaration} from './declaration.ts';

/** A semantic error in a declaration. */
export interface DeclarationIssue {
  /** The key path of the error, such as `['customers', 0, 'versions', 1]`. */
  readonly path: ReadonlyArray<string | number>;
  readonly message: string;
}

/** Returns all semantic errors; empty if the declaration is valid. */
export function checkDeclaration(declaration: Declaration): DeclarationIssue[] {
  return [
    ...checkDuplicates(declaration),
    ...checkPools(declaration),
    ...checkCustomers(declaration),
    ...checkRollouts(declaration),
  ];
}

function checkDuplicates(declaration: Declaration): DeclarationIssue[] {
  const {pools, versions, services, customers, rollouts} = declaration;
  return [
    ...findDuplicates(['pools'], 'name', pools, each => each.name),
    ...findDuplicates(['versions'], 'name', versions, formatVersion),
    ...findDuplicates(['services'], 'name', services, each => each.name),
    ...findDuplicates(['customers'], 'name', customers, each => each.name),
    ...findDuplicates(
      ['customers'],
      'key_sha256',
      customers,
      each => each.key_sha256,
    ),
    ...findDuplicates(['rollouts'], 'model', rollouts, each => each.model),
    ...services.flatMap((service, index) =>
      findDuplicates(
        ['services', index, 'calls'],
        'path',
        service.calls,
        each => `${each.method} ${each.path}`,
      ),
    ),
    ...customers.flatMap((customer, index) =>
      findDuplicates(
        ['customers', index, 'targets'],
        'class',
        customer.targets,
        each => each.class,
      ),
    ),
  ];
}

/** Reports the items whose name an earlier item already has. */
function findDuplicates<T>(
  path: ReadonlyArray<string | number>,
  field: string,
  items: readonly T[],
  getName: (item: T) => string,
): DeclarationIssue[] {
  const seen = new Set<string>();
  const issues: DeclarationIssue[] = [];
  items.forEach((item, index) => {
    const name = getName(item);
    if (seen.has(name)) {
      // The hash of a key is not secret, but does not help the reader.
      const shown = field === 'key_sha256' ? 'this key' : `"${name}"`;
      const message = `${shown} stands twice`;
      issues.push({path: [...path, index, field], message});
    }
    seen.add(name);
  });
  return issues;
}

function checkPools(declaration: Declaration): DeclarationIssue[] {
  const {pools, versions, services} = declaration;
  const known = new Set(pools.map(each => each.name));
  const versionPools = new Set(versions.map(each => each.pool));
  const issues: DeclarationIssue[] = [];
  versions.forEach(({pool}, index) => {
    if (known.has(pool)) return;
    const message = `the pool "${pool}" is not declared`;
    issues.push({path: ['versions', index, 'pool'], message});
  });
  const servicePools = new Set<string>();
  services.forEach(({pool}, index) => {
    const path = ['services', index, 'pool'];
    if (!known.has(pool)) {
      issues.push({path, message: `the pool "${pool}" is not declared`});
    } else if (versionPools.has(pool) || servicePools.has(pool)) {
      const message = `the pool "${pool}" serves versions or another service`;
      issues.push({path, message});
    }
    servicePools.add(pool);
  });
  return issues;
}

function checkCustomers(declaration: Declaration): DeclarationIssue[] {
  const {versions, services, customers} = declaration;
  const knownVersions = new Set(
    versions.flatMap(each => [formatVersion(each), `${each.model}/*`]),
  );
  const knownServices = new Set(services.map(each => each.name));
  return customers.flatMap((customer, index) => [
    ...findUnknown(
      ['customers', index, 'versions'],
      'version',
      customer.versions,
      knownVersions,
    ),
    ...findUnknown(
      ['customers', index, 'services'],
      'service',
      customer.services,
      knownServices,
    ),
  ]);
}

function findUnknown(
  path: ReadonlyArray<string | number>,
  kind: string,
  names: readonly string[],
  known: ReadonlySet<string>,
): DeclarationIssue[] {
  return names.flatMap((name, index) =>
    known.has(name)
      ? []
      : [
          {
            path: [...path, index],
            message: `the ${kind} "${name}" is not declared`,
          },
        ],
  );
}

function checkRollouts(declaration: Declaration): DeclarationIssue[] {
  const byName = new Map(
    declaration.versions.map(each => [formatVersion(each), each]),
  );
  return declaration.rollouts.flatMap((plan, index) => {
    const issues: DeclarationIssue[] = [];
    const report = (field: string, message: string) =>
      issues.push({path: ['rollouts', index, field], message});
    for (const field of ['version', 'stable'] as const) {
      const name = `${plan.model}/${plan[field]}`;
      const version = byName.get(name);
      if (!version) report(field, `the version "${name}" is not declared`);
      else if (version.withdrawn && field === 'stable') {
        report(field, `the version "${name}" is withdrawn`);
      }
    }
    if (plan.version === plan.stable) {
      report('stable', 'the stable version is the one that is rolled out');
    }
    const shrinks = plan.stages.some(
      (share, stage) => stage > 0 && share <= (plan.stages[stage - 1] ?? 0),
    );
    if (shrinks) report('stages', 'each stage must be larger than the last');
    return issues;
  });
}
