import type { NodeRole } from '@galenatiller/types';
import { Command, CommanderError } from 'commander';
import { Result } from 'true-myth';

import { EXIT_FAILURE, EXIT_SETTINGS, EXIT_STOP_TIMEOUT, EXIT_USAGE } from './exitCodes.js';

/** What the command line asks for. */
export interface DaemonCommand {
  readonly role: NodeRole;
  readonly settingsFile: string;
  /** Whether the settings are to be checked only. */
  readonly checkOnly: boolean;
}

/** Options of {@link parseCommandLine}. */
export interface ParseCommandLineOptions {
  /** Arguments after the name of the program. */
  readonly args: readonly string[];
  readonly writeOut: (text: string) => void;
  readonly writeError: (text: string) => void;
}

interface RoleOptions {
  readonly settings: string;
  readonly check?: true;
}

const HELP_AFTER = `
Signals:
  SIGTERM, SIGINT  graceful shutdown, at most [node] stop-limit-ms long
  the same again   ends at once

Exit codes:
  0  graceful shutdown, or settings without problems
  ${EXIT_USAGE}  the command line is wrong
  ${EXIT_STOP_TIMEOUT}  the stop limit cut what still ran
  ${EXIT_SETTINGS}  the settings have problems; each is printed on a line of its own
  ${EXIT_FAILURE}  the node failed
  130, 143  ended at once by a second SIGINT, SIGTERM

The settings are described in docs/operators/settings.md. DEBUG=galenatiller:* prints logs.`;

/** Reads the command line; the error is an exit code, after help or a complaint was written. */
export function parseCommandLine(opts: ParseCommandLineOptions): Result<DaemonCommand, number> {
  const commands: DaemonCommand[] = [];
  const program = createProgram(opts, (command) => commands.push(command));
  try {
    program.parse(opts.args, { from: 'user' });
  } catch (error) {
    return Result.err(error instanceof CommanderError ? error.exitCode : EXIT_FAILURE);
  }
  const [command] = commands;
  return command ? Result.ok(command) : Result.err(EXIT_USAGE);
}

function createProgram(
  opts: ParseCommandLineOptions,
  onCommand: (command: DaemonCommand) => void,
): Command {
  const program = new Command('galenatillerd')
    .description('Runs a node of galenatiller: an entry before callers or a gate before targets.')
    .addHelpText('after', HELP_AFTER)
    .exitOverride()
    .configureOutput({ writeOut: opts.writeOut, writeErr: opts.writeError });
  addRole({ program, role: 'entry', summary: 'accept requests and walk their stages', onCommand });
  addRole({ program, role: 'gate', summary: 'guard the targets of this host', onCommand });
  return program;
}

interface AddRoleOptions {
  readonly program: Command;
  readonly role: NodeRole;
  readonly summary: string;
  readonly onCommand: (command: DaemonCommand) => void;
}

function addRole(opts: AddRoleOptions): void {
  opts.program
    .command(opts.role)
    .description(opts.summary)
    .requiredOption('--settings <file>', 'INI file with the settings of the node')
    .option('--check', 'say every problem of the settings and exit')
    .addHelpText('after', HELP_AFTER)
    .action((options: RoleOptions) => {
      opts.onCommand({
        role: opts.role,
        settingsFile: options.settings,
        checkOnly: options.check ?? false,
      });
    });
}
