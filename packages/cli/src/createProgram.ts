import { Argument, Command, Option } from 'commander';

import type { CliCommand } from './cliCommand.js';
import { parseNonNegativeInteger, parseSingleLine, parseDuration } from './parseArgument.js';

/** Options of {@link createProgram}. */
export interface CreateProgramOptions {
  readonly writeOut: (text: string) => void;
  readonly writeError: (text: string) => void;
  readonly onCommand: (command: CliCommand) => void;
}

type OnCommand = CreateProgramOptions['onCommand'];

const DEFAULT_SETTINGS_FILE = 'galenatiller.ini';

/** Longest wait until a change is in force, in milliseconds. */
const DEFAULT_WAIT_MS = 30_000;

/** Time between two rounds of `top`, in milliseconds. */
const DEFAULT_TOP_INTERVAL_MS = 2_000;

const HELP_AFTER = `
Exit codes are the thousands digit of the result code (docs/RESULT-CODES.md):
  0  done, and in force at every live node where rules were changed
  1  the command line or the operator key is wrong
  2  a node is stopping or overloaded
  3  the host list or a node failed to answer
  4  the store did not answer, or another change was accepted first
  5  the rules are wrong, or accepted and not yet in force everywhere
  6  the settings are wrong
  7  a node could not be reached
  9  an unexpected error

The rules file is described in docs/operators/rules.md, every command in
docs/operators/commands.md. NO_COLOR turns colours off, as does output to a file.`;

/** The commands with their help. */
export function createProgram(opts: CreateProgramOptions): Command {
  const program = new Command('galenatiller')
    .description('Drives galenatiller: rules, availability zones, version moves and the time line.')
    .option('--settings <file>', 'INI file with section [cli]', DEFAULT_SETTINGS_FILE)
    .option('--json', 'write one JSON document on each line')
    .addHelpText('after', HELP_AFTER)
    .exitOverride()
    .configureOutput({ writeOut: opts.writeOut, writeErr: opts.writeError });
  addRulesCommands(program, opts.onCommand);
  addZoneCommand(program, opts.onCommand);
  addRolloutCommands(program, opts.onCommand);
  addReportCommands(program, opts.onCommand);
  return program;
}

function addRulesCommands(program: Command, onCommand: OnCommand): void {
  program
    .command('check')
    .description('say every problem of a rules file; asks nobody')
    .argument('<file>', 'rules file')
    .action((fileName: string) => onCommand({ kind: 'check', fileName }));
  program
    .command('diff')
    .description('show what a rules file would change')
    .argument('<file>', 'rules file')
    .action((fileName: string) => onCommand({ kind: 'diff', fileName }));
  program
    .command('show')
    .description('write the accepted rules as a rules file')
    .action(() => onCommand({ kind: 'show' }));
  program
    .command('apply')
    .description('accept a rules file and wait until every live node has it in force')
    .argument('<file>', 'rules file')
    .addOption(
      new Option('--base <revision>', 'refuse unless this revision is the newest')
        .argParser(parseNonNegativeInteger)
        .default(0, 'the newest'),
    )
    .addOption(waitOption())
    .action((fileName: string, { base, wait }: { base: number; wait: number }) =>
      onCommand({ kind: 'apply', fileName, baseRevision: base, waitMs: wait }),
    );
}

function addZoneCommand(program: Command, onCommand: OnCommand): void {
  program
    .command('zone')
    .description('take an availability zone out or bring it in')
    .addArgument(new Argument('<state>', 'whether the zone takes new work').choices(['in', 'out']))
    .argument('<name>', 'availability zone', parseSingleLine)
    .addOption(askedByOption())
    .addOption(waitOption())
    .action((state: 'in' | 'out', zone: string, options: ChangeValues) =>
      onCommand({ kind: 'zone', state, zone, askedBy: options.askedBy, waitMs: options.wait }),
    );
}

interface ChangeValues {
  readonly askedBy: string;
  readonly wait: number;
}

interface RolloutValues extends ChangeValues {
  readonly from: string;
  readonly to: string;
  readonly by: string;
  readonly unprovenShare: string;
}

function addRolloutCommands(program: Command, onCommand: OnCommand): void {
  const rollout = program.command('rollout').description('move target groups between versions');
  rollout
    .command('start')
    .description('move a target group from one version to another by a set time')
    .argument('<group>', 'target group', parseSingleLine)
    .requiredOption('--from <version>', 'version that has the traffic', parseSingleLine)
    .requiredOption('--to <version>', 'version that is to get it', parseSingleLine)
    .requiredOption('--by <time>', 'UTC time, such as 2026-12-04T12:00:00Z', parseSingleLine)
    .option('--unproven-share <share>', 'traffic until it is proven', parseSingleLine, '5%')
    .addOption(askedByOption())
    .addOption(waitOption())
    .action((targetGroup: string, { wait, ...values }: RolloutValues) =>
      onCommand({ kind: 'rollout-start', targetGroup, ...values, waitMs: wait }),
    );
  rollout
    .command('status')
    .description('say how far each move is at each node')
    .action(() => onCommand({ kind: 'rollout-status' }));
  rollout
    .command('take-back')
    .description('give all traffic of a target group back to the old version at once')
    .argument('<group>', 'target group', parseSingleLine)
    .addOption(askedByOption())
    .addOption(waitOption())
    .action((targetGroup: string, { askedBy, wait }: ChangeValues) =>
      onCommand({ kind: 'rollout-take-back', targetGroup, askedBy, waitMs: wait }),
    );
}

interface TimelineValues {
  readonly request: string;
  readonly target: string;
  readonly zone: string;
  readonly follow: boolean;
}

function addReportCommands(program: Command, onCommand: OnCommand): void {
  program
    .command('status')
    .description('show every node, its revision and its load')
    .action(() => onCommand({ kind: 'status' }));
  program
    .command('timeline')
    .description('show events of all nodes in causal order')
    .option('--request <id>', 'only this request', '')
    .option('--target <name>', 'only this target', '')
    .option('--zone <name>', 'only nodes of this availability zone', '')
    .option('--follow', 'go on until stopped', false)
    .action(({ request, ...values }: TimelineValues) =>
      onCommand({ kind: 'timeline', requestId: request, ...values }),
    );
  program
    .command('explain')
    .description('say what became of a request, and where its time went')
    .argument('<request>', 'request id, as in the header x-request-id')
    .action((requestId: string) => onCommand({ kind: 'explain', requestId }));
  program
    .command('top')
    .description('show the load of each target group again and again')
    .addOption(
      new Option('--interval <duration>', 'time between rounds')
        .argParser(parseDuration)
        .default(DEFAULT_TOP_INTERVAL_MS, '2s'),
    )
    .addOption(
      new Option('--rounds <count>', 'number of rounds')
        .argParser(parseNonNegativeInteger)
        .default(0, 'no end'),
    )
    .action(({ interval, rounds }: { interval: number; rounds: number }) =>
      onCommand({ kind: 'top', intervalMs: interval, rounds }),
    );
  program
    .command('completion')
    .description('write a completion script for bash')
    .action(() => onCommand({ kind: 'completion' }));
}

function askedByOption(): Option {
  return new Option('--asked-by <name>', 'who asked for it; kept in the rule')
    .argParser(parseSingleLine)
    .makeOptionMandatory();
}

function waitOption(): Option {
  return new Option('--wait <duration>', 'longest wait until it is in force everywhere')
    .argParser(parseDuration)
    .default(DEFAULT_WAIT_MS, '30s');
}
