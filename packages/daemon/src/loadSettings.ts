import { GalenatillerError } from '@galenatiller/error';
import { type NodeSettings, readNodeSettings, renderSettingsProblem } from '@galenatiller/settings';
import { Result } from 'true-myth';

import type { DaemonCommand } from './parseCommandLine.js';

/** Reads a whole text file; rejects when it can't be read. */
export type ReadText = (fileName: string) => Promise<string>;

/** Options of {@link loadSettings}. */
export interface LoadSettingsOptions {
  readonly command: DaemonCommand;
  readonly readText: ReadText;
}

/** Loads the settings of the node. The detail of the error has one line for each problem. */
export async function loadSettings(
  opts: LoadSettingsOptions,
): Promise<Result<NodeSettings, GalenatillerError>> {
  const { role, settingsFile: fileName } = opts.command;
  try {
    const text = await opts.readText(fileName);
    return readNodeSettings({ role, fileName, text }).mapErr((problems) =>
      createSettingsError(problems.map(renderSettingsProblem).join('\n')),
    );
  } catch (error) {
    const reason = error instanceof Error ? error.message : 'unknown reason';
    return Result.err(createSettingsError(`${fileName}: cannot be read: ${reason}`));
  }
}

function createSettingsError(detail: string): GalenatillerError {
  return GalenatillerError.create({ name: 'settings-invalid', detail });
}
