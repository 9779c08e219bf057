/** The commands `check`, `diff` and `apply` for declaration files. */
import type {Command} from 'commander';
import type {Declaration} from '../../protocol/declaration.ts';
import {
  addConnection,
  ask,
  exitCodes,
  printAnswer,
  send,
  type Connection,
} from './connection.ts';
import {readDeclaration} from './read_declaration.ts';

/** Adds the commands to `program`. */
export function addDeclarationCommands(program: Command): void {
  program
    .command('check <file>')
    .description('check a declaration and print its mistakes with their lines')
    .action(check);
  addConnection(program.command('diff <file>'))
    .description('show what applying a declaration would change')
    .action(diff);
  addConnection(program.command('apply <file>'))
    .description('apply a whole declaration and wait until it is in force')
    .addHelpText(
      'after',
      '\nExample:\n  parsleypond apply desk.toml --address 10.0.0.1:8080 --secret operator.secret\n' +
        '\nThe same file may be sent again after a lost reply.\n' +
        'Exit codes: 0 in force, 1 refused, 2 mistakes, 3 unreachable, 4 accepted but not yet in force.',
    )
    .action(apply);
}

async function check(file: string): Promise<void> {
  const declaration = await readDeclaration(file);
  if (!declaration) return;
  const {version, customers, versions, services} = declaration;
  console.log(
    `${file}: no mistakes found in version ${version}: ${customers.length} customers, ${versions.length} versions, ${services.length} services`,
  );
}

async function diff(file: string, options: Connection): Promise<void> {
  const declaration = await readDeclaration(file);
  if (!declaration) return;
  const answer = await ask(options, '/operator/declaration');
  const {formatDeclarationDiff} = await import('./format_diff.ts');
  printAnswer(options, answer, (body: {declaration: Declaration | null}) =>
    formatDeclarationDiff(body.declaration, declaration),
  );
}

interface Applied {
  readonly revision: number;
  readonly inForce: boolean;
  /** A sentence about where the declaration is in force. */
  readonly message?: string;
}

async function apply(file: string, options: Connection): Promise<void> {
  const declaration = await readDeclaration(file);
  if (!declaration) return;
  const answer = await send(options, '/operator/commands', {
    type: 'apply',
    declaration,
  });
  printAnswer(options, answer, (body: Applied) =>
    describeApplied(declaration.version, body),
  );
  if (answer.ok && isPending(answer.value.body)) {
    process.exitCode = exitCodes.pending;
  }
}

function describeApplied(version: number, applied: Applied): string {
  if (applied.message) return applied.message;
  return applied.inForce
    ? `Version ${version} is in force everywhere, at revision ${applied.revision}.`
    : `Version ${version} is accepted at revision ${applied.revision}, but not every daemon has acknowledged it yet.`;
}

function isPending(body: unknown): boolean {
  return (body as Applied | null)?.inForce === false;
}
