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

/** Default time to wait until a change is active at every live node. */
const DEFAULT_WAIT_MS = 30_000;

/** Default time between two rounds of `top`. */
const DEFAULT_TOP_INTERVAL_MS = 2_000;

const HELP_AFTER = `
Exit codes are the thousands digit of the result code (docs/RESULT-CODES.md):
  0  success; changed rules are in force at every live node
  1  the command line or the operator key is invalid
  2  a node is stopping or overloaded
  3  the host list or a node did not respond
  4  the store did not respond, or another change was accepted first
  5  the rules are invalid, or accepted but not yet in force at every live node
  6  the settings are invalid
  7  a node could not be reached
  9  an unexpected error

The rules file is described in docs/operators/rules.md and the commands in
docs/operators/commands.md. Colours are off when NO_COLOR is set or the output
is not a terminal.`;

/** Creates the command line program with all commands and their help. */
export function createProgram(opts: CreateProgramOptions): Command {
  const program = new Command('galenatiller')
    .description('Manages galenatiller: rules, availability zones, version moves and timelines.')
    .option('--settings <file>', 'INI file with section [cli]', DEFAULT_SETTINGS_FILE)
    .option('--json', 'write output as one JSON document per line')
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
    .description('report all problems in a rules file, without changing anything')
    .argument('<file>', 'rules file')
    .option('--against-active', 'also report what differs from the accepted rules')
    .action((fileName: string, { againstActive }: { againstActive?: true }) =>
      onCommand({ kind: againstActive ? 'check-against-active' : 'check', fileName }),
    );
  program
    .command('diff')
    .description('show what a rules file would change')
    .argument('<file>', 'rules file')
    .action((fileName: string) => onCommand({ kind: 'diff', fileName }));
  program
    .command('show')
    .description('print the accepted rules as a rules file')
    .action(() => onCommand({ kind: 'show' }));
  program
    .command('apply')
    .description('publish a rules file and wait until it is in force at every live node')
    .argument('<file>', 'rules file')
    .addOption(
      new Option('--base <revision>', 'fail unless this revision is the newest')
        .argParser(parseNonNegativeInteger)
        .default(0, 'the newest'),
    )
    .addOption(createWaitOption())
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
    .addOption(createAskedByOption())
    .addOption(createWaitOption())
    .action((state: 'in' | 'out', zone: string, options: ChangeOptionValues) =>
      onCommand({ kind: 'zone', state, zone, askedBy: options.askedBy, waitMs: options.wait }),
    );
}

interface ChangeOptionValues {
  readonly askedBy: string;
  readonly wait: number;
}

interface RolloutOptionValues extends ChangeOptionValues {
  readonly from: string;
  readonly to: string;
  readonly by: string;
  readonly unprovenShare: string;
}

function addRolloutCommands(program: Command, onCommand: OnCommand): void {
  const rollout = program.command('rollout').description('move target groups between versions');
  rollout
    .command('start')
    .description('move a target group to another version by a given time')
    .argument('<group>', 'target group', parseSingleLine)
    .requiredOption('--from <version>', 'version that receives the traffic now', parseSingleLine)
    .requiredOption('--to <version>', 'version to move the traffic to', parseSingleLine)
    .requiredOption('--by <time>', 'UTC time, such as 2026-12-04T12:00:00Z', parseSingleLine)
    .option(
      '--unproven-share <share>',
      'share of traffic until the new version is proven',
      parseSingleLine,
      '5%',
    )
    .addOption(createAskedByOption())
    .addOption(createWaitOption())
    .action((targetGroup: string, { wait, ...values }: RolloutOptionValues) =>
      onCommand({ kind: 'rollout-start', targetGroup, ...values, waitMs: wait }),
    );
  rollout
    .command('status')
    .description('show the progress of each move at each node')
    .action(() => onCommand({ kind: 'rollout-status' }));
  rollout
    .command('take-back')
    .description('return all traffic of a target group to the old version at once')
    .argument('<group>', 'target group', parseSingleLine)
    .addOption(createAskedByOption())
    .addOption(createWaitOption())
    .action((targetGroup: string, { askedBy, wait }: ChangeOptionValues) =>
      onCommand({ kind: 'rollout-take-back', targetGroup, askedBy, waitMs: wait }),
    );
}

interface TimelineOptionValues {
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
    .option('--follow', 'keep printing new events until stopped', false)
    .action(({ request, ...values }: TimelineOptionValues) =>
      onCommand({ kind: 'timeline', requestId: request, ...values }),
    );
  program
    .command('explain')
    .description('explain the outcome of a request and where its time was spent')
    .argument('<request>', 'request id, as in the header x-request-id')
    .action((requestId: string) => onCommand({ kind: 'explain', requestId }));
  program
    .command('top')
    .description('show the load of each target group at regular intervals')
    .addOption(
      new Option('--interval <duration>', 'time between rounds')
        .argParser(parseDuration)
        .default(DEFAULT_TOP_INTERVAL_MS, '2s'),
    )
    .addOption(
      new Option('--rounds <count>', 'number of rounds')
        .argParser(parseNonNegativeInteger)
        .default(0, 'unlimited'),
    )
    .action(({ interval, rounds }: { interval: number; rounds: number }) =>
      onCommand({ kind: 'top', intervalMs: interval, rounds }),
    );
  program
    .command('completion')
    .description('print a completion script for bash')
    .action(() => onCommand({ kind: 'completion' }));
}

function createAskedByOption(): Option {
  return new Option('--asked-by <name>', 'who asked for the change; stored with the rule')
    .argParser(parseSingleLine)
    .makeOptionMandatory();
}

function createWaitOption(): Option {
  return new Option(
    '--wait <duration>',
    'maximum time to wait until the change is in force at every live node',
  )
    .argParser(parseDuration)
    .default(DEFAULT_WAIT_MS, '30s');
}
