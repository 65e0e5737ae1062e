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

/** First part of the section of a target; the name of the target follows. */
export const TARGET_SECTION_PREFIX = 'target.';

/** Section of {@link TARGET_KEYS} in the documents. */
export const TARGET_SECTION = `${TARGET_SECTION_PREFIX}NAME`;

/** Keys of both roles. */
export const COMMON_KEYS = {
  nodeName: nameKey({
    section: 'node',
    key: 'name',
    meaning: 'Name of the node, unique in the fleet.',
  }),
  availabilityZone: nameKey({
    section: 'node',
    key: 'availability-zone',
    meaning: 'Availability zone that the host stands in.',
  }),
  stopLimitMs: integerKey({
    section: 'node',
    key: 'stop-limit-ms',
    meaning: 'Longest graceful shutdown; what still runs after it is cut.',
    unit: 'ms',
    min: 100,
    max: 900_000,
    defaultText: '30000',
  }),
  linkAddress: addressKey({
    section: 'link',
    key: 'listen-address',
    meaning: 'Where other nodes open links.',
    defaultText: '127.0.0.1',
  }),
  linkPort: portKey({
    section: 'link',
    key: 'listen-port',
    meaning: 'Where other nodes open links.',
    defaultText: '7101',
  }),
  linkKeys: secretsKey({
    section: 'link',
    key: 'keys',
    meaning: 'Keys that prove a link, newest first; two are valid during a rotation.',
  }),
  operatorAddress: addressKey({
    section: 'operator',
    key: 'listen-address',
    meaning: 'Where operators ask.',
    defaultText: '127.0.0.1',
  }),
  operatorPort: portKey({
    section: 'operator',
    key: 'listen-port',
    meaning: 'Where operators ask.',
    defaultText: '7102',
  }),
  operatorKeys: secretsKey({
    section: 'operator',
    key: 'keys',
    meaning: 'Keys that operators prove themselves with, newest first.',
  }),
  storeUrl: urlKey({
    section: 'platform',
    key: 'store-url',
    meaning: 'Key-value service of the platform.',
  }),
  hostListUrl: urlKey({
    section: 'platform',
    key: 'host-list-url',
    meaning: 'Host list of the platform.',
  }),
  weightStoreUrl: urlKey({
    section: 'platform',
    key: 'weight-store-url',
    meaning: 'Weight store of the platform; empty when there is none.',
    defaultText: '',
  }),
  metricsAddress: addressKey({
    section: 'metrics',
    key: 'address',
    meaning: 'statsd server; an empty address sends no metrics.',
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
    meaning: 'Decisions of the node; the naive ones are for measurements only.',
    choices: ['standard', 'naive'],
    defaultText: 'standard',
  }),
} satisfies KeyTable;

/** Keys of the entry role only. */
export const ENTRY_KEYS = {
  callerAddress: addressKey({
    section: 'caller',
    key: 'listen-address',
    meaning: 'Where callers send requests.',
    defaultText: '127.0.0.1',
  }),
  callerPort: portKey({
    section: 'caller',
    key: 'listen-port',
    meaning: 'Where callers send requests.',
    defaultText: '7100',
  }),
  linksPerGroup: integerKey({
    section: 'routing',
    key: 'links-per-group',
    meaning: 'Most gates of one target group that the entry keeps links to.',
    unit: 'links',
    min: 1,
    max: 256,
    defaultText: '32',
  }),
} satisfies KeyTable;

/** Keys of one target, of the gate role only. */
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
    meaning: 'Target group that stages name.',
  }),
  version: nameKey({
    section: TARGET_SECTION,
    key: 'version',
    meaning: 'Version that the target runs.',
    defaultText: '1',
  }),
  url: urlKey({ section: TARGET_SECTION, key: 'url', meaning: 'Where the target answers.' }),
  inFlightLimit: integerKey({
    section: TARGET_SECTION,
    key: 'in-flight-limit',
    meaning: 'Most requests at once on a warm target.',
    unit: 'requests',
    min: 1,
    max: 4_096,
    defaultText: '8',
  }),
  coldInFlightLimit: integerKey({
    section: TARGET_SECTION,
    key: 'cold-in-flight-limit',
    meaning: 'Most requests at once on a target that has just started.',
    unit: 'requests',
    min: 1,
    max: 4_096,
    defaultText: '1',
  }),
  queueLimit: integerKey({
    section: TARGET_SECTION,
    key: 'queue-limit',
    meaning: 'Most requests that wait at the gate for the target.',
    unit: 'requests',
    min: 0,
    max: 1_000,
    defaultText: '64',
  }),
} satisfies KeyTable;
