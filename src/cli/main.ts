/**
 * The `parsleypond` program: the daemon of a host and the operators' commands.
 *
 * Commands import heavy modules when they run, so that the daemon does not load
 * modules that only the command line needs.
 */
import {Command} from 'commander';
import {addBillsCommand} from './commands/bills_command.ts';
import {addChangeCommands} from './commands/change_commands.ts';
import {addCompletionCommand} from './commands/completion_command.ts';
import {addDeclarationCommands} from './commands/declaration_commands.ts';
import {addRecoverCommand} from './commands/recover_command.ts';
import {addServeCommand} from './commands/serve_command.ts';
import {addStatusCommands} from './commands/status_commands.ts';

const program = new Command('parsleypond')
  .description('A model-aware router for versions and cascades')
  .version('0.1.0')
  .showHelpAfterError('(add --help for the options)')
  .addHelpText(
    'after',
    `
Examples:
  parsleypond serve --settings /etc/parsleypond/settings.toml
  parsleypond check desk.toml
  parsleypond apply desk.toml --address 10.0.0.1:8080 --secret operator.secret
  parsleypond status --address 10.0.0.1:8080 --secret operator.secret

The environment variables PARSLEYPOND_ADDRESS and PARSLEYPOND_SECRET_FILE
stand for --address and --secret.`,
  );
addServeCommand(program);
addRecoverCommand(program);
addDeclarationCommands(program);
addStatusCommands(program);
addChangeCommands(program);
addBillsCommand(program);
addCompletionCommand(program);
program.parseAsync().catch((error: unknown) => {
  console.error((error as Error).message);
  process.exitCode = 1;
});
