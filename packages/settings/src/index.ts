/** Reads and validates settings in INI format. */
export type { EntrySettings, GateSettings, NodeSettings, TargetSettings } from './nodeSettings.js';
export { readNodeSettings, type ReadNodeSettingsOptions } from './readNodeSettings.js';
export type { KeyTable, SettingKey } from './settingKey.js';
export { COMMON_KEYS, ENTRY_KEYS, TARGET_KEYS } from './settingKeys.js';
export { renderSettingsProblem, type SettingsProblem } from './settingsProblem.js';
export {
  CLI_KEYS,
  type CliSettings,
  readCliSettings,
  type ReadCliSettingsOptions,
} from './readCliSettings.js';
export { readRouterSettings, type ReadRouterSettingsOptions } from './readRouterSettings.js';
export { ROUTER_KEYS, type RouterSettings } from './routerKeys.js';
