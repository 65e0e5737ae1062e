/** Reads and validates INI settings. */
export type { EntrySettings, GateSettings, NodeSettings, TargetSettings } from './nodeSettings.js';
