/** Writes the INI settings of entries and gates. */
import type { TargetPlan } from './deployment.js';

/** Whether an entry decides by the product's policy or by the naive baseline. */
export type RoutingPolicy = 'standard' | 'naive';

/** What every node's settings hold. */
export interface NodeSettingsValues {
  readonly nodeName: string;
  readonly availabilityZone: string;
  readonly linkPort: number;
  readonly operatorPort: number;
  readonly storeUrl: string;
  readonly hostListUrl: string;
  readonly metricsPort: number;
}

/** Settings of one entry. */
export interface EntrySettingsValues extends NodeSettingsValues {
  readonly callerPort: number;
  readonly routingPolicy: RoutingPolicy;
}

/** Settings of one gate. */
export interface GateSettingsValues extends NodeSettingsValues {
  readonly targets: readonly TargetEndpoint[];
  /** Limits that fit what the fakes can bear. */
  readonly inFlightLimit: number;
  readonly coldInFlightLimit: number;
}

/** A target with its address. */
export interface TargetEndpoint extends TargetPlan {
  readonly url: string;
}

/** Keys of a deployment on loopback; they protect nothing. */
export const LOOPBACK_LINK_KEY = 'a1'.repeat(32);

/** The operators' key of a deployment on loopback. */
export const LOOPBACK_OPERATOR_KEY = 'b2'.repeat(32);

/** The settings file of an entry. */
export function renderEntrySettings(opts: EntrySettingsValues): string {
  return [
    ...renderCommonLines(opts),
    '[caller]',
    `listen-port = ${opts.callerPort}`,
    '[routing]',
    'links-per-group = 16',
    `policy = ${opts.routingPolicy}`,
    '',
  ].join('\n');
}

/** The settings file of a gate. */
export function renderGateSettings(opts: GateSettingsValues): string {
  const sections = opts.targets.flatMap((target) => [
    `[target.${target.name}]`,
    `kind = ${target.kind}`,
    `group = ${target.group}`,
    `version = ${target.version}`,
    `url = ${target.url}`,
    `in-flight-limit = ${opts.inFlightLimit}`,
    `cold-in-flight-limit = ${opts.coldInFlightLimit}`,
  ]);
  return [...renderCommonLines(opts), ...sections, ''].join('\n');
}

function renderCommonLines(opts: NodeSettingsValues): readonly string[] {
  return [
    '[node]',
    `name = ${opts.nodeName}`,
    `availability-zone = ${opts.availabilityZone}`,
    'stop-limit-ms = 10000',
    '[link]',
    `listen-port = ${opts.linkPort}`,
    `keys = ${LOOPBACK_LINK_KEY}`,
    '[operator]',
    `listen-port = ${opts.operatorPort}`,
    `keys = ${LOOPBACK_OPERATOR_KEY}`,
    '[platform]',
    `store-url = ${opts.storeUrl}`,
    `host-list-url = ${opts.hostListUrl}`,
    ...(opts.metricsPort === 0
      ? []
      : ['[metrics]', 'address = 127.0.0.1', `port = ${opts.metricsPort}`]),
  ];
}
