/** What a daemon may go on with after its lease ran out. */
import type {ControlView} from '../../protocol/control.ts';
import {formatVersion} from '../../protocol/declaration.ts';

/**
 * Reduces a view to the pools declared with `when_isolated = "serve_stable"`
 * and, of these, to the versions outside any roll-out plan. Returns `null`
 * when no pool is declared so.
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
