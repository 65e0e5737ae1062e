import {
  addressKey,
  choiceKey,
  integerKey,
  type KeyTable,
  nameKey,
  portKey,
  secretsKey,
  urlKey,
} from './settingKey.js';

/** Prefix of the section name of a target; the target name follows. */
export const TARGET_SECTION_PREFIX = 'target.';

/** Placeholder for the section name of {@link TARGET_KEYS} in documentation. */
export const TARGET_SECTION = `${TARGET_SECTION_PREFIX}NAME`;

/** Setting keys of both roles. */
export const COMMON_KEYS = {
  nodeName: nameKey({
    section: 'node',
    key: 'name',
    meaning: 'Name of the node; must be unique among all nodes.',
  }),
  availabilityZone: nameKey({
    section: 'node',
    key: 'availability-zone',
    meaning: 'Availability zone of the host.',
  }),
  stopLimitMs: integerKey({
    section: 'node',
    key: 'stop-limit-ms',
    meaning: 'Timeout of the graceful shutdown; calls still running then are aborted.',
    unit: 'ms',
    min: 100,
    max: 900_000,
    defaultText: '30000',
  }),
  memoryMb: integerKey({
    section: 'node',
    key: 'memory-mb',
    meaning: 'Memory of the host; what callers may take of it is derived from that.',
    unit: 'MB',
    min: 64,
    max: 1_048_576,
    defaultText: '256',
  }),
  maxDescriptors: integerKey({
    section: 'node',
    key: 'max-descriptors',
    meaning: 'Descriptors that the process may open; 40 % each are for callers and for sends.',
    unit: 'descriptors',
    min: 64,
    max: 1_048_576,
    defaultText: '4096',
  }),
  linkAddress: addressKey({
    section: 'link',
    key: 'listen-address',
    meaning: 'Listen address for links from other nodes.',
    defaultText: '127.0.0.1',
  }),
  linkPort: portKey({
    section: 'link',
    key: 'listen-port',
    meaning: 'Listen port for links from other nodes.',
    defaultText: '7101',
  }),
  linkKeys: secretsKey({
    section: 'link',
    key: 'keys',
    meaning: 'Keys that authenticate links, newest first; two are valid during a rotation.',
  }),
  operatorAddress: addressKey({
    section: 'operator',
    key: 'listen-address',
    meaning: 'Listen address for operators.',
    defaultText: '127.0.0.1',
  }),
  operatorPort: portKey({
    section: 'operator',
    key: 'listen-port',
    meaning: 'Listen port for operators.',
    defaultText: '7102',
  }),
  operatorKeys: secretsKey({
    section: 'operator',
    key: 'keys',
    meaning: 'Keys that authenticate operators, newest first.',
  }),
  storeUrl: urlKey({
    section: 'platform',
    key: 'store-url',
    meaning: 'URL of the key-value service of the platform.',
  }),
  hostListUrl: urlKey({
    section: 'platform',
    key: 'host-list-url',
    meaning: 'URL of the host list of the platform.',
  }),
  weightStoreUrl: urlKey({
    section: 'platform',
    key: 'weight-store-url',
    meaning: 'URL of the weight store of the platform; empty when there is none.',
    defaultText: '',
  }),
  metricsAddress: addressKey({
    section: 'metrics',
    key: 'address',
    meaning: 'Address of the statsd server; no metrics are sent when it is empty.',
    defaultText: '',
  }),
  metricsPort: portKey({
    section: 'metrics',
    key: 'port',
    meaning: 'UDP port of the statsd server.',
    defaultText: '8125',
  }),
  policy: choiceKey({
    section: 'routing',
    key: 'policy',
    meaning: 'Routing policy of the node; naive is for measurements only.',
    choices: ['standard', 'naive'],
    defaultText: 'standard',
  }),
} satisfies KeyTable;

/** Setting keys of the entry role only. */
export const ENTRY_KEYS = {
  callerAddress: addressKey({
    section: 'caller',
    key: 'listen-address',
    meaning: 'Listen address for callers.',
    defaultText: '127.0.0.1',
  }),
  callerPort: portKey({
    section: 'caller',
    key: 'listen-port',
    meaning: 'Listen port for callers.',
    defaultText: '7100',
  }),
  linksPerGroup: integerKey({
    section: 'routing',
    key: 'links-per-group',
    meaning: 'Maximum number of gates per target group that the entry keeps links to.',
    unit: 'links',
    min: 1,
    max: 256,
    defaultText: '32',
  }),
} satisfies KeyTable;

/** Setting keys of a target, in the gate role only. */
export const TARGET_KEYS = {
  kind: choiceKey({
    section: TARGET_SECTION,
    key: 'kind',
    meaning: 'Kind of peer behind the target.',
    choices: ['engine', 'pool', 'service'],
  }),
  group: nameKey({
    section: TARGET_SECTION,
    key: 'group',
    meaning: 'Target group that stages refer to.',
  }),
  version: nameKey({
    section: TARGET_SECTION,
    key: 'version',
    meaning: 'Version that the target runs.',
    defaultText: '1',
  }),
  url: urlKey({ section: TARGET_SECTION, key: 'url', meaning: 'URL of the target.' }),
  inFlightLimit: integerKey({
    section: TARGET_SECTION,
    key: 'in-flight-limit',
    meaning: 'Maximum number of concurrent requests on a warm target.',
    unit: 'requests',
    min: 1,
    max: 4_096,
    defaultText: '8',
  }),
  coldInFlightLimit: integerKey({
    section: TARGET_SECTION,
    key: 'cold-in-flight-limit',
    meaning: 'Maximum number of concurrent requests on a target that has just started.',
    unit: 'requests',
    min: 1,
    max: 4_096,
    defaultText: '1',
  }),
  queueLimit: integerKey({
    section: TARGET_SECTION,
    key: 'queue-limit',
    meaning: 'Maximum number of requests queued at the gate for the target.',
    unit: 'requests',
    min: 0,
    max: 1_000,
    defaultText: '64',
  }),
} satisfies KeyTable;
