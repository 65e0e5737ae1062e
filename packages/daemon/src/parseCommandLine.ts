import type { NodeRole } from '@galenatiller/types';
import { Command, CommanderError } from 'commander';
import { Result } from 'true-myth';

import { EXIT_FAILURE, EXIT_SETTINGS, EXIT_STOP_TIMEOUT, EXIT_USAGE } from './exitCodes.js';

/** The parsed command line. */
export interface DaemonCommand {
  readonly role: NodeRole;
  readonly settingsFile: string;
  /** Whether to check the settings and exit without starting the node. */
  readonly checkOnly: boolean;
}

/** Options of {@link parseCommandLine}. */
export interface ParseCommandLineOptions {
  /** Arguments after the name of the program. */
  readonly args: readonly string[];
  readonly writeOut: (text: string) => void;
  readonly writeError: (text: string) => void;
}

interface RoleOptionValues {
  readonly settings: string;
  readonly check?: true;
}

const HELP_AFTER = `
Signals:
  SIGTERM, SIGINT  graceful shutdown, at most [node] stop-limit-ms long
  a second signal  ends at once

Exit codes:
  0  graceful shutdown, or no problems in the settings
  ${EXIT_USAGE}  the command line is invalid
  ${EXIT_STOP_TIMEOUT}  the graceful shutdown exceeded the stop limit
  ${EXIT_SETTINGS}  the settings have problems, which are printed one per line
  ${EXIT_FAILURE}  the node failed
  130, 143  ended at once by a second SIGINT or SIGTERM

The settings are described in docs/operators/settings.md. DEBUG=galenatiller:* enables logs.`;

/** Parses the command line. The error is an exit code; help or an error message has been written by then. */
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
    .description(
      'Runs a galenatiller node: an entry, which serves callers, or a gate, which sends work to targets.',
    )
    .addHelpText('after', HELP_AFTER)
    .exitOverride()
    .configureOutput({ writeOut: opts.writeOut, writeErr: opts.writeError });
  addRoleCommand({
    program,
    role: 'entry',
    summary: 'accept requests and run their stages',
    onCommand,
  });
  addRoleCommand({
    program,
    role: 'gate',
    summary: 'queue and send requests to the targets of this host',
    onCommand,
  });
  return program;
}

interface AddRoleCommandOptions {
  readonly program: Command;
  readonly role: NodeRole;
  readonly summary: string;
  readonly onCommand: (command: DaemonCommand) => void;
}

function addRoleCommand(opts: AddRoleCommandOptions): void {
  opts.program
    .command(opts.role)
    .description(opts.summary)
    .requiredOption('--settings <file>', 'INI file with the settings of the node')
    .option('--check', 'report all problems in the settings and exit')
    .addHelpText('after', HELP_AFTER)
    .action((options: RoleOptionValues) => {
      opts.onCommand({
        role: opts.role,
        settingsFile: options.settings,
        checkOnly: options.check ?? false,
      });
    });
}
