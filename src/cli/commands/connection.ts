/** How the operators' commands reach a daemon. */
import {Option, type Command} from 'commander';
import {request} from 'undici';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import {readSecret} from '../serve/secrets.ts';

/** What the program's exit codes mean. */
export const exitCodes = {
  done: 0,
  /** The system answered, and refused. */
  refused: 1,
  /** The command line or a file is wrong. */
  usage: 2,
  /** No daemon answered; what became of a change is not known. */
  unreachable: 3,
  /** Accepted, but not yet in force everywhere. */
  pending: 4,
} as const;

/** The options that every command with a connection has. */
export interface Connection {
  /** Daemons to ask in turn, as IP number and port. */
  readonly address: string;
  /** The file with the operators' secret. */
  readonly secret: string;
  readonly json: boolean;
}

/** A daemon's answer. */
export interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** How long a daemon may take to answer. */
const ANSWER_TIMEOUT_MS = 30_000;

/** How often a waiting command says that it waits. */
const PROGRESS_INTERVAL_MS = 1_000;

/** Adds the options of a connection to a command. */
export function addConnection(command: Command): Command {
  return command
    .addOption(
      new Option(
        '--address <addresses>',
        'daemons to ask in turn, separated by commas',
      )
        .env('PARSLEYPOND_ADDRESS')
        .default('127.0.0.1:8080'),
    )
    .addOption(
      new Option('--secret <file>', "the file with the operators' secret")
        .env('PARSLEYPOND_SECRET_FILE')
        .makeOptionMandatory(),
    )
    .option('--json', 'print JSON for programs', false);
}

/** Sends a GET request. */
export function ask(
  connection: Connection,
  path: string,
): Promise<Outcome<Answer, string>> {
  return askInTurn(connection, path);
}

/** Sends a change and says on standard error that it waits. */
export async function send(
  connection: Connection,
  path: string,
  body: unknown,
): Promise<Outcome<Answer, string>> {
  const started = performance.now();
  const timer = setInterval(() => {
    const seconds = Math.round((performance.now() - started) / 1_000);
    console.error(`Waits for the system, ${seconds} s so far.`);
  }, PROGRESS_INTERVAL_MS);
  try {
    return await askInTurn(connection, path, JSON.stringify(body));
  } finally {
    clearInterval(timer);
  }
}

/** Prints an answer as JSON, or through `format` for people. */
export function printAnswer(
  connection: Connection,
  answer: Outcome<Answer, string>,
  format: (body: never) => string,
): void {
  if (!answer.ok) {
    console.error(answer.error);
    process.exitCode = exitCodes.unreachable;
    return;
  }
  const {status, body} = answer.value;
  if (connection.json) console.log(JSON.stringify(body, null, 2));
  else if (status < 400) console.log(format(body as never));
  if (status < 400) return;
  if (!connection.json) console.error(describeRefusal(body));
  process.exitCode = status === 503 ? exitCodes.unreachable : exitCodes.refused;
}

async function askInTurn(
  connection: Connection,
  path: string,
  body?: string,
): Promise<Outcome<Answer, string>> {
  const secret = await readSecret(connection.secret);
  const reasons: string[] = [];
  for (const address of connection.address.split(',')) {
    try {
      const response = await request(`http://${address.trim()}${path}`, {
        method: body === undefined ? 'GET' : 'POST',
        headers: {
          authorization: `Bearer ${secret}`,
          ...(body === undefined ? {} : {'content-type': 'application/json'}),
        },
        body: body ?? null,
        headersTimeout: ANSWER_TIMEOUT_MS,
        bodyTimeout: ANSWER_TIMEOUT_MS,
      });
      return succeed({
        status: response.statusCode,
        body: await response.body.json(),
      });
    } catch (error) {
      reasons.push(`${address.trim()}: ${(error as Error).message}`);
    }
  }
  return fail(`Could not reach a daemon: ${reasons.join('; ')}`);
}

function describeRefusal(body: unknown): string {
  const {message, error} = (body ?? {}) as {
    message?: string;
    error?: {message?: string};
  };
  return message ?? error?.message ?? JSON.stringify(body);
}
