/**
 * Measures the control plane: `npm run bench:control [PART...]`.
 *
 * Parts: `in-force`, `renewals`, `ledger`, `exchange`; all by default.
 */
import {measureExchange} from './measure_exchange.ts';
import {measureInForce} from './measure_in_force.ts';
import {measureLedger} from './measure_ledger.ts';
import {measureRenewals} from './measure_renewals.ts';

const parts: Readonly<Record<string, () => Promise<string[]> | string[]>> = {
  ledger: measureLedger,
  exchange: measureExchange,
  renewals: measureRenewals,
  'in-force': measureInForce,
};

const selected = process.argv.slice(2);
for (const [name, measure] of Object.entries(parts)) {
  if (selected.length > 0 && !selected.includes(name)) continue;
  for (const line of await measure()) console.log(line);
}
process.exit(0);
