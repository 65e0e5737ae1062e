import type { NodeSettings, TargetSettings } from './nodeSettings.js';
import type { SettingsProblem } from './settingsProblem.js';

interface Listener {
  readonly section: string;
  readonly address: string;
  readonly port: number;
}

/** Options of {@link checkConsistency}. */
export interface CheckConsistencyOptions {
  readonly fileName: string;
  readonly settings: NodeSettings;
}

/** Finds conflicts between keys that are each valid on their own. */
export function checkConsistency(opts: CheckConsistencyOptions): readonly SettingsProblem[] {
  const { fileName, settings } = opts;
  const targets = settings.role === 'gate' ? settings.targets : [];
  return [
    ...findDuplicateListeners(getListeners(settings)),
    ...targets.filter(isColdLimitTooHigh).map((target) => ({
      section: `target.${target.name}`,
      key: 'cold-in-flight-limit',
      found: `"${target.coldInFlightLimit}"`,
      expected: `at most in-flight-limit, which is ${target.inFlightLimit}`,
    })),
  ].map((problem) => ({ ...problem, fileName, line: 0, nearest: '' }));
}

function getListeners(settings: NodeSettings): readonly Listener[] {
  const common = [
    { section: 'link', address: settings.linkAddress, port: settings.linkPort },
    { section: 'operator', address: settings.operatorAddress, port: settings.operatorPort },
  ];
  return settings.role === 'entry'
    ? [...common, { section: 'caller', address: settings.callerAddress, port: settings.callerPort }]
    : common;
}

function findDuplicateListeners(
  listeners: readonly Listener[],
): Pick<SettingsProblem, 'section' | 'key' | 'found' | 'expected'>[] {
  return listeners.flatMap((listener, index) => {
    const earlier = listeners
      .slice(0, index)
      .find(({ address, port }) => address === listener.address && port === listener.port);
    return earlier
      ? [
          {
            section: listener.section,
            key: 'listen-port',
            found: `"${listener.port}"`,
            expected: `another port than [${earlier.section}] listen-port`,
          },
        ]
      : [];
  });
}

function isColdLimitTooHigh(target: TargetSettings): boolean {
  return target.coldInFlightLimit > target.inFlightLimit;
}
