/** The commands `bills export` and `bills archive`. */
import type {Command} from 'commander';
import type {BillPage, BillRecord} from '../../protocol/ledger.ts';
import {succeed, type Outcome} from '../../protocol/outcome.ts';
import {
  addConnection,
  ask,
  printAnswer,
  send,
  type Answer,
  type Connection,
} from './connection.ts';

interface ExportOptions extends Connection {
  readonly shard?: string;
  readonly after: string;
}

interface ArchiveOptions extends Connection {
  readonly shard: string;
  readonly through: string;
}

/** Adds the commands to `program`. */
export function addBillsCommand(program: Command): void {
  const bills = program.command('bills').description('read what was billed');
  addConnection(bills.command('export'))
    .description('print the bills, oldest first, one JSON object a line')
    .option('--shard <number>', 'one ledger shard only')
    .option('--after <sequence>', 'only bills that follow this one', '0')
    .action(async (options: ExportOptions) => {
      const answer = await exportBills(options);
      printAnswer(options, answer, (body: readonly BillRecord[]) =>
        body.map(bill => JSON.stringify(bill)).join('\n'),
      );
    });
  addConnection(bills.command('archive'))
    .description('drop exported bills from memory; totals stay')
    .requiredOption('--shard <number>', 'the ledger shard')
    .requiredOption('--through <sequence>', 'the last bill that was exported')
    .action(async (options: ArchiveOptions) => {
      const answer = await send(options, '/operator/bills/archive', {
        shard: Number(options.shard),
        through: Number(options.through),
      });
      printAnswer(
        options,
        answer,
        () => `Bills through ${options.through} are archived.`,
      );
    });
}

/** Reads all pages of all shards; the first failure ends the export. */
async function exportBills(
  options: ExportOptions,
): Promise<Outcome<Answer, string>> {
  const bills: BillRecord[] = [];
  const only = options.shard === undefined ? null : Number(options.shard);
  let shards = 1;
  for (let shard = only ?? 0; shard < (only ?? shards - 1) + 1; shard++) {
    let cursor = Number(options.after);
    let complete = false;
    while (!complete) {
      const path = `/operator/bills?shard=${shard}&after=${cursor}`;
      const answer = await ask(options, path);
      if (!answer.ok || answer.value.status >= 400) return answer;
      const page = answer.value.body as BillPage;
      bills.push(...page.bills);
      ({cursor, complete, shards} = page);
    }
  }
  return succeed({status: 200, body: bills});
}
