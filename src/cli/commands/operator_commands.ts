/** The operators' commands, which talk to a running daemon. */
import {readFile} from 'node:fs/promises';
import type {Command} from 'commander';
import {request} from 'undici';
import type {OperatorCommand} from '../../protocol/control.ts';
import {checkDeclaration} from '../../protocol/check_declaration.ts';
import {
  declarationSchema,
  type Declaration,
} from '../../protocol/declaration.ts';
import type {BillPage, BillRecord} from '../../protocol/ledger.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import {formatIssue, parseToml} from '../../protocol/toml.ts';
import {readSecret} from '../serve/secrets.ts';

interface Connection {
  readonly address: string;
  readonly secret: string;
}

/** Adds the commands to `program`. */
export function addOperatorCommands(program: Command): void {
  addOperatorCommand(program, 'check <file>', 'check a declaration').action(
    async (file: string) => {
      if (await readDeclaration(file))
        console.log(`${file}: no mistakes found`);
    },
  );
  connect(
    addOperatorCommand(program, 'apply <file>', 'apply a whole declaration'),
  ).action(async (file: string, options: Connection) => {
    const declaration = await readDeclaration(file);
    if (!declaration) return;
    await sendCommand(options, {type: 'apply', declaration});
  });
  connect(
    addOperatorCommand(program, 'withdraw <version>', 'withdraw a version'),
  )
    .option('--reason <text>', 'why', 'withdrawn by an operator')
    .action(async (version: string, options: Connection & {reason: string}) => {
      await sendCommand(options, {
        type: 'withdraw',
        version,
        reason: options.reason,
      });
    });
  connect(addOperatorCommand(program, 'drain <host>', 'take a host out of use'))
    .option('--undo', 'take the host into use again', false)
    .action(async (host: string, options: Connection & {undo: boolean}) => {
      await sendCommand(options, {
        type: 'drain',
        host,
        draining: !options.undo,
      });
    });
  connect(
    addOperatorCommand(program, 'status', 'show what is in force'),
  ).action(async (options: Connection) => print(options, '/operator/status'));
  addBillsCommands(program);
  connect(
    addOperatorCommand(program, 'addresses', 'show the addresses to use'),
  ).action(async (options: Connection) => print(options, '/v1/addresses'));
}

/** Adds `bills export`, which `bills` alone means as well. */
function addBillsCommands(program: Command): void {
  const bills = program.command('bills').description('read what was billed');
  connect(
    bills
      .command('export', {isDefault: true})
      .description('print the bills as JSON, oldest first'),
  )
    .option('--shard <number>', 'one ledger shard only')
    .option('--after <sequence>', 'only bills that follow this one', '0')
    .action(async (options: Connection & {shard?: string; after: string}) => {
      await exportBills(options, Number(options.after), options.shard);
    });
}

async function exportBills(
  connection: Connection,
  after: number,
  shard?: string,
): Promise<void> {
  const bills: BillRecord[] = [];
  const only = shard === undefined ? undefined : Number(shard);
  let shards = 1;
  for (let number = only ?? 0; number < (only ?? shards - 1) + 1; number++) {
    let cursor = after;
    for (let complete = false; !complete;) {
      const path = `/operator/bills?shard=${number}&after=${cursor}`;
      const answer = await ask(connection, path);
      if (!answer.ok) {
        console.error(JSON.stringify(answer.error));
        process.exitCode = 1;
        return;
      }
      const page = answer.value as BillPage;
      bills.push(...page.bills);
      ({cursor, complete, shards} = page);
    }
  }
  console.log(JSON.stringify(bills, null, 2));
}

function addOperatorCommand(
  program: Command,
  name: string,
  description: string,
): Command {
  return program.command(name).description(description);
}

function connect(command: Command): Command {
  return command
    .option('--address <address>', 'a daemon to ask', '127.0.0.1:8080')
    .requiredOption('--secret <file>', "the file with the operators' secret");
}

async function readDeclaration(file: string): Promise<Declaration | null> {
  const parsed = parseToml(
    await readFile(file, 'utf8'),
    declarationSchema,
    checkDeclaration,
  );
  if (parsed.ok) return parsed.value;
  for (const issue of parsed.error) console.error(formatIssue(file, issue));
  process.exitCode = 2;
  return null;
}

async function sendCommand(
  connection: Connection,
  command: OperatorCommand,
): Promise<void> {
  printAnswer(
    await ask(connection, '/operator/commands', JSON.stringify(command)),
  );
}

async function print(connection: Connection, path: string): Promise<void> {
  printAnswer(await ask(connection, path));
}

function printAnswer(answer: Outcome<unknown, unknown>): void {
  const body = answer.ok ? answer.value : answer.error;
  console.log(JSON.stringify(body, null, 2));
  if (!answer.ok) process.exitCode = 1;
}

/** Asks a daemon; the body of an answer above 399 is the error. */
async function ask(
  connection: Connection,
  path: string,
  body?: string,
): Promise<Outcome<unknown, unknown>> {
  const secret = await readSecret(connection.secret);
  const response = await request(`http://${connection.address}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: {authorization: `Bearer ${secret}`},
    body: body ?? null,
  });
  const answer = await response.body.json();
  return response.statusCode < 400 ? succeed(answer) : fail(answer);
}
