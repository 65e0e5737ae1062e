import { CommanderError } from 'commander';
import { Result } from 'true-myth';

import type { CliCommand, Invocation } from './cliCommand.js';
import { createProgram } from './createProgram.js';
import { EXIT_USAGE } from './exitCode.js';

/** Options of {@link parseCommandLine}. */
export interface ParseCommandLineOptions {
  /** Arguments after the name of the program. */
  readonly args: readonly string[];
  readonly writeOut: (text: string) => void;
  readonly writeError: (text: string) => void;
}

/** Parses the command line. The error is an exit code; help or an error message has been written by then. */
export function parseCommandLine(opts: ParseCommandLineOptions): Result<Invocation, number> {
  const commands: CliCommand[] = [];
  const program = createProgram({ ...opts, onCommand: (command) => commands.push(command) });
  try {
    program.parse(opts.args, { from: 'user' });
  } catch (error) {
    return Result.err(error instanceof CommanderError ? error.exitCode : EXIT_USAGE);
  }
  const [command] = commands;
  const { settings, json } = program.opts<{ settings: string; json?: true }>();
  return command
    ? Result.ok({ command, settingsFile: settings, json: json ?? false })
    : Result.err(EXIT_USAGE);
}
