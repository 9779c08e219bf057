/** The command `recover`, for a permanent loss of the majority of voters. */
import type {Command} from 'commander';

interface RecoverOptions {
  readonly settings: string;
  readonly acceptLoss: boolean;
}

/** Adds the command to `program`. */
export function addRecoverCommand(program: Command): void {
  program
    .command('recover')
    .description(
      'make the replicas on this disk the only voters, while no daemon runs',
    )
    .requiredOption('--settings <file>', 'the settings file of this host')
    .option(
      '--accept-loss',
      'recover; without this flag, only print what would be lost',
      false,
    )
    .action(async ({settings, acceptLoss}: RecoverOptions) => {
      const {recoverReplicas} = await import('./recover_replicas.ts');
      process.exitCode = await recoverReplicas(settings, {acceptLoss});
    });
}
