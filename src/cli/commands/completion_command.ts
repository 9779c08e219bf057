/** The command `completion`, which prints a shell completion script. */
import {Argument, type Command} from 'commander';

/** Adds the command to `program`. */
export function addCompletionCommand(program: Command): void {
  program
    .command('completion')
    .description('print a completion script for a shell')
    .addArgument(new Argument('<shell>').choices(['bash', 'zsh']))
    .addHelpText('after', '\nExample:\n  source <(parsleypond completion bash)')
    .action((shell: string) => console.log(createScript(program, shell)));
}

/** Creates the script from the registered commands and options. */
function createScript(program: Command, shell: string): string {
  const cases = program.commands.map(command => {
    const words = [
      ...command.commands.map(each => each.name()),
      ...command.options.map(each => each.long ?? ''),
    ];
    return `    ${command.name()}) words="${words.join(' ')}" ;;`;
  });
  const names = program.commands.map(command => command.name()).join(' ');
  const prelude =
    shell === 'zsh' ? ['autoload -U +X bashcompinit && bashcompinit'] : [];
  return [
    ...prelude,
    '_parsleypond() {',
    '  local words',
    '  case "${COMP_WORDS[1]}" in',
    ...cases,
    '    *) words="" ;;',
    '  esac',
    `  if [ "$COMP_CWORD" -eq 1 ]; then words="${names}"; fi`,
    '  COMPREPLY=($(compgen -W "$words" -f -- "${COMP_WORDS[COMP_CWORD]}"))',
    '}',
    'complete -F _parsleypond parsleypond',
  ].join('\n');
}
