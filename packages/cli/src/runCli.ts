import { GalenatillerError } from '@galenatiller/error';
import { type CliSettings, readCliSettings, renderSettingsProblem } from '@galenatiller/settings';
import { Result } from 'true-myth';
import { Unit } from 'true-myth/unit';

import { checkRulesFile } from './checkRulesFile.js';
import type { CliCommand, Invocation } from './cliCommand.js';
import { type CommandFailure, fail } from './commandFailure.js';
import type { CommandReport } from './commandReport.js';
import { renderCompletionScript } from './renderCompletionScript.js';
import { createProgram } from './createProgram.js';
import { EXIT_OK, getExitCode, getReportExitCode } from './exitCode.js';
import type { ReadText } from './loadRules.js';
import { parseCommandLine, type ParseCommandLineOptions } from './parseCommandLine.js';
import type { Platform } from './platform.js';
import { renderReport } from './renderReport.js';
import { createTextStyle, renderFailure } from './renderText.js';
import { type PlatformCommand, runCommand } from './runCommand.js';
import { encodeFailure, encodeReport } from './wire.js';

/** Access to the platform, and the function that closes its connections. */
export interface PlatformConnection {
  readonly platform: Platform;
  readonly close: () => Promise<void>;
}

/** Options of {@link runCli}. */
export interface RunCliOptions extends ParseCommandLineOptions {
  readonly readText: ReadText;
  readonly connect: (settings: CliSettings) => PlatformConnection;
  readonly hasColours: boolean;
  /** Stops commands that run until they are interrupted. */
  readonly stop: AbortSignal;
}

/** Runs the command line and returns its exit code. */
export async function runCli(opts: RunCliOptions): Promise<number> {
  const invocation = parseCommandLine(opts);
  if (invocation.isErr) {
    return invocation.error;
  }
  const { json } = invocation.value;
  const style = createTextStyle({ hasColours: opts.hasColours && !json });
  let exitCode = EXIT_OK;
  const emit = (report: CommandReport): void => {
    const lines = json ? [encodeReport(report)] : renderReport(report, style);
    opts.writeOut(`${lines.join('\n')}\n`);
    report.unknown.forEach((error) => opts.writeError(`${style.error(error.message)}\n`));
    exitCode ||= getReportExitCode(report);
  };
  const result = await runInvocation(opts, invocation.value, emit);
  if (result.isOk) {
    return exitCode;
  }
  const failure = result.error;
  if (json) {
    opts.writeOut(`${encodeFailure(failure)}\n`);
  } else {
    opts.writeError(`${renderFailure(failure, style).join('\n')}\n`);
  }
  return getExitCode(failure.error);
}

type Emit = (report: CommandReport) => void;

async function runInvocation(
  opts: RunCliOptions,
  { command, settingsFile }: Invocation,
  emit: Emit,
): Promise<Result<Unit, CommandFailure>> {
  if (isLocal(command)) {
    return (await createLocalReport(opts, command)).map((report) => {
      emit(report);
      return Unit;
    });
  }
  const settings = await loadSettings(opts, settingsFile);
  return settings.isErr
    ? Result.err(settings.error)
    : runConnected(opts, { command, settings: settings.value, emit });
}

type LocalCommand = Exclude<CliCommand, PlatformCommand>;

function isLocal(command: CliCommand): command is LocalCommand {
  return command.kind === 'check' || command.kind === 'completion';
}

async function createLocalReport(
  opts: RunCliOptions,
  command: LocalCommand,
): Promise<Result<CommandReport, CommandFailure>> {
  if (command.kind === 'completion') {
    const script = renderCompletionScript(createProgram({ ...opts, onCommand: () => {} }));
    return Result.ok({ command: 'completion', unknown: [], script });
  }
  return checkRulesFile({ fileName: command.fileName, readText: opts.readText });
}

async function loadSettings(
  opts: RunCliOptions,
  fileName: string,
): Promise<Result<CliSettings, CommandFailure>> {
  try {
    const text = await opts.readText(fileName);
    return readCliSettings({ fileName, text }).mapErr((problems) => ({
      error: createSettingsError(`${fileName} has ${problems.length} problems`),
      details: problems.map(renderSettingsProblem),
    }));
  } catch (error) {
    const reason = error instanceof Error ? error.message : 'unknown reason';
    return fail(createSettingsError(`${fileName}: found no text (${reason}), expected settings`));
  }
}

interface RunConnectedOptions {
  readonly command: PlatformCommand;
  readonly settings: CliSettings;
  readonly emit: Emit;
}

async function runConnected(
  opts: RunCliOptions,
  { command, settings, emit }: RunConnectedOptions,
): Promise<Result<Unit, CommandFailure>> {
  const { platform, close } = opts.connect(settings);
  try {
    const context = {
      platform,
      author: settings.author,
      readText: opts.readText,
      stop: opts.stop,
      emit,
      onProgress: (message: string) => opts.writeError(`${message}\n`),
    };
    return await runCommand(context, command);
  } finally {
    await close();
  }
}

function createSettingsError(detail: string): GalenatillerError {
  return GalenatillerError.create({ name: 'settings-invalid', detail });
}
