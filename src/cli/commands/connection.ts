/** Sends the requests of operator commands to a daemon. */
import {Option, type Command} from 'commander';
import {request} from 'undici';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import {readSecret} from '../serve/secrets.ts';

/** The exit codes of the program. */
export const exitCodes = {
  done: 0,
  /** The daemon refused the request. */
  refused: 1,
  /** The command line or a file is invalid. */
  usage: 2,
  /** No daemon answered; a change may or may not have been accepted. */
  unreachable: 3,
  /** Accepted, but not yet in force everywhere. */
  pending: 4,
} as const;

/** The options of every command that connects to a daemon. */
export interface Connection {
  /** Comma-separated `IP:PORT` addresses of daemons, tried in order. */
  readonly address: string;
  /** The path of the file with the operators' secret. */
  readonly secret: string;
  readonly json: boolean;
}

/** The HTTP status and the decoded JSON body of an answer. */
export interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** The time-out for an answer. */
const ANSWER_TIMEOUT_MS = 30_000;

/** The interval of progress messages while a command waits. */
const PROGRESS_INTERVAL_MS = 1_000;

/** Adds the connection options to a command. */
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

/** Sends a POST request; prints progress to standard error while waiting. */
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

/** Prints an answer as JSON or through `format`, and sets the exit code. */
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
