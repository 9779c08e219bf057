/** The configuration that a daemon may serve after its lease expired. */
import type {ControlView} from '../../protocol/control.ts';
import {formatVersion} from '../../protocol/declaration.ts';

/**
 * Reduces a view to the pools declared with `when_isolated = "serve_stable"`
 * and, within them, to the versions that no roll-out plan names. Returns
 * `null` if no pool is declared that way.
 */
export function createIsolatedView(view: ControlView): ControlView | null {
  const {declaration} = view;
  if (!declaration) return null;
  const pools = declaration.pools.filter(
    pool => pool.when_isolated === 'serve_stable',
  );
  if (pools.length === 0) return null;
  const poolNames = new Set(pools.map(pool => pool.name));
  const planned = new Set(
    declaration.rollouts.flatMap(plan => [
      formatVersion({model: plan.model, name: plan.version}),
      formatVersion({model: plan.model, name: plan.stable}),
    ]),
  );
  return {
    ...view,
    isolated: true,
    rollouts: [],
    declaration: {
      ...declaration,
      pools,
      versions: declaration.versions.filter(
        version =>
          poolNames.has(version.pool) && !planned.has(formatVersion(version)),
      ),
      services: declaration.services.filter(service =>
        poolNames.has(service.pool),
      ),
      rollouts: [],
    },
  };
}
