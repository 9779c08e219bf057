/** The commands `rollout`, `withdraw` and `drain`. */
import {Argument, type Command} from 'commander';
import type {OperatorCommand} from '../../protocol/control.ts';
import {
  addConnection,
  exitCodes,
  printAnswer,
  send,
  type Connection,
} from './connection.ts';

/** Adds the commands to `program`. */
export function addChangeCommands(program: Command): void {
  addConnection(program.command('rollout'))
    .description('pause, resume or abort a roll-out')
    .addArgument(new Argument('<action>').choices(['pause', 'resume', 'abort']))
    .argument('<version>', 'the version that is rolled out, as model/version')
    .addHelpText('after', '\nExample:\n  parsleypond rollout pause draft/v2')
    .action(changeRollout);
  addConnection(program.command('withdraw <version>'))
    .description('withdraw a version: it receives no new work')
    .option('--reason <text>', 'why', 'withdrawn by an operator')
    .action(async (version: string, options: Connection & {reason: string}) =>
      sendCommand(options, {
        type: 'withdraw',
        version,
        reason: options.reason,
      }),
    );
  addConnection(program.command('drain <host>'))
    .description('take a host out of the addresses that callers use')
    .option('--undo', 'take the host into use again', false)
    .action(async (host: string, options: Connection & {undo: boolean}) =>
      sendCommand(options, {type: 'drain', host, draining: !options.undo}),
    );
}

async function changeRollout(
  action: string,
  name: string,
  options: Connection,
): Promise<void> {
  const [model, version] = name.split('/');
  if (!model || !version) {
    console.error(`Could not read "${name}": expected model/version`);
    process.exitCode = exitCodes.usage;
    return;
  }
  if (action === 'abort') {
    await sendCommand(options, {
      type: 'end_rollout',
      model,
      version,
      status: 'backed-out',
      reason: 'aborted by an operator',
    });
    return;
  }
  await sendCommand(options, {
    type: 'pause_rollout',
    model,
    version,
    paused: action === 'pause',
    atMs: Date.now(),
  });
}

async function sendCommand(
  options: Connection,
  command: OperatorCommand,
): Promise<void> {
  const answer = await send(options, '/operator/commands', command);
  printAnswer(
    options,
    answer,
    (body: {revision: number; inForce: boolean; message?: string}) => {
      if (body.message) return body.message;
      return body.inForce
        ? `Done: in force everywhere, at revision ${body.revision}.`
        : `Accepted at revision ${body.revision}, not yet in force everywhere.`;
    },
  );
  const pending =
    answer.ok && (answer.value.body as {inForce?: boolean})?.inForce === false;
  if (pending) process.exitCode = exitCodes.pending;
}
