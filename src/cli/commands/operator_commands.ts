/** The operators' commands, which talk to a running daemon. */
import {createHash} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import type {Command} from 'commander';
import {request} from 'undici';
import type {ControlCommand} from '../../protocol/control.ts';
import {
  declarationSchema,
  type Declaration,
} from '../../protocol/declaration.ts';
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
    const digest = createHash('sha256')
      .update(JSON.stringify(declaration))
      .digest('hex');
    await sendCommand(options, {
      type: 'apply',
      declaration,
      digest,
      atMs: Date.now(),
    });
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
  connect(
    addOperatorCommand(program, 'bills', 'export all bills as JSON'),
  ).action(async (options: Connection) => print(options, '/operator/bills'));
  connect(
    addOperatorCommand(program, 'addresses', 'show the addresses to use'),
  ).action(async (options: Connection) => print(options, '/v1/addresses'));
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
  const parsed = parseToml(await readFile(file, 'utf8'), declarationSchema);
  if (parsed.ok) return parsed.value;
  for (const issue of parsed.error) console.error(formatIssue(file, issue));
  process.exitCode = 2;
  return null;
}

async function sendCommand(
  connection: Connection,
  command: ControlCommand,
): Promise<void> {
  await ask(connection, '/operator/commands', JSON.stringify(command));
}

async function print(connection: Connection, path: string): Promise<void> {
  await ask(connection, path);
}

async function ask(
  connection: Connection,
  path: string,
  body?: string,
): Promise<void> {
  const secret = await readSecret(connection.secret);
  const response = await request(`http://${connection.address}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: {authorization: `Bearer ${secret}`},
    body: body ?? null,
  });
  const answer = await response.body.json();
  console.log(JSON.stringify(answer, null, 2));
  if (response.statusCode >= 400) process.exitCode = 1;
}
