/** Renders the INI settings of entries and gates. */
import type { TargetPlan } from './deployment.js';

/** Routing policy of an entry: the standard policy of the product or the naive baseline. */
export type RoutingPolicy = 'standard' | 'naive';

/** Values in the settings of every node. */
export interface NodeSettingsValues {
  readonly nodeName: string;
  readonly availabilityZone: string;
  readonly linkPort: number;
  readonly operatorPort: number;
  readonly storeUrl: string;
  readonly hostListUrl: string;
  readonly metricsPort: number;
}

/** Values in the settings of an entry. */
export interface EntrySettingsValues extends NodeSettingsValues {
  readonly callerPort: number;
  readonly routingPolicy: RoutingPolicy;
}

/** Values in the settings of a gate. */
export interface GateSettingsValues extends NodeSettingsValues {
  readonly targets: readonly TargetEndpoint[];
  /** Limits that match the capacity of the fakes. */
  readonly inFlightLimit: number;
  readonly coldInFlightLimit: number;
}

/** A target with its URL. */
export interface TargetEndpoint extends TargetPlan {
  readonly url: string;
}

/** Link key of a deployment on loopback; not a secret. */
export const LOOPBACK_LINK_KEY = 'a1'.repeat(32);

/** Operator key of a deployment on loopback; not a secret. */
export const LOOPBACK_OPERATOR_KEY = 'b2'.repeat(32);

/** Renders the settings file of an entry. */
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

/** Renders the settings file of a gate. */
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
