import type { Command } from 'commander';

/** A completion script for bash with the commands and options of a program. */
export function renderCompletionScript(program: Command): string {
  const top = wordsOf(program);
  const cases = program.commands.map((command) => {
    const words = [...wordsOf(command), ...command.commands.flatMap(wordsOf)];
    return `    ${command.name()}) words="${[...new Set(words)].join(' ')}" ;;`;
  });
  return [
    '_galenatiller() {',
    '  local words word command=""',
    // eslint-disable-next-line no-template-curly-in-string -- bash expands it
    '  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do',
    '    case "$word" in -*) ;; *) command="$word"; break ;; esac',
    '  done',
    '  case "$command" in',
    ...cases,
    `    *) words="${top.join(' ')}" ;;`,
    '  esac',
    // eslint-disable-next-line no-template-curly-in-string -- bash expands it
    '  COMPREPLY=($(compgen -f -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))',
    '}',
    'complete -F _galenatiller galenatiller',
  ].join('\n');
}

function wordsOf(command: Command): readonly string[] {
  const options = command.options.flatMap((option) => (option.long ? [option.long] : []));
  const choices = command.registeredArguments.flatMap((argument) => argument.argChoices ?? []);
  return [...command.commands.map((each) => each.name()), ...choices, ...options, '--help'];
}
