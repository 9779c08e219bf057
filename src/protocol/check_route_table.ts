/** Validates a route table as a whole, beyond its schema. */
import type {RouteTable} from './route_table.ts';

/** Returns a message for each error; empty if the table is valid. */
export function checkRouteTable(table: RouteTable): string[] {
  return [...checkTargets(table), ...checkPatterns(table), ...checkKeys(table)];
}

function checkTargets({routes, services}: RouteTable): string[] {
  const known = new Set(services.map(service => service.name));
  return routes.flatMap(route => {
    const issues = route.targets
      .filter(target => !known.has(target.service))
      .map(
        target =>
          `Could not use route "${route.name}": the service "${target.service}" is unknown`,
      );
    const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
    if (total > 0) return issues;
    return [
      ...issues,
      `Could not use route "${route.name}": its weights add up to 0`,
    ];
  });
}

function checkPatterns({routes}: RouteTable): string[] {
  const patterns = new Set<string>();
  const issues: string[] = [];
  for (const {name, host, pathPrefix} of routes) {
    const pattern = `${host.toLowerCase()}${pathPrefix}`;
    if (patterns.has(pattern)) {
      issues.push(`Could not use route "${name}": "${pattern}" is taken`);
    }
    patterns.add(pattern);
  }
  return issues;
}

function checkKeys({customers}: RouteTable): string[] {
  const owners = new Map<string, string>();
  const issues: string[] = [];
  for (const {name, keys} of customers ?? []) {
    for (const key of keys) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== name) {
        issues.push(
          `Could not use customer "${name}": it shares a key with "${owner}"`,
        );
      }
      owners.set(key, name);
    }
  }
  return issues;
}
