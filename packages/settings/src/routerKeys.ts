import { decimalKey, integerKey, type KeyTable, socketKey, type ValuesOf } from './settingKey.js';
import { COMMON_KEYS } from './settingKeys.js';

/** Keys of the router role. */
export const ROUTER_KEYS = {
  nodeName: COMMON_KEYS.nodeName,
  availabilityZone: COMMON_KEYS.availabilityZone,
  stopLimitS: decimalKey({
    section: 'node',
    key: 'stop-limit-s',
    meaning: 'Time from the order to stop until the process is killed.',
    unit: 's',
    min: 1,
    max: 900,
    defaultText: '30',
  }),
  callerAddress: socketKey({
    section: 'caller',
    key: 'listen',
    meaning: 'Where callers send requests.',
  }),
  readyAddress: socketKey({
    section: 'caller',
    key: 'listen-ready',
    meaning: 'Where the balancer asks whether callers may be sent here.',
  }),
  storeAddress: socketKey({
    section: 'store',
    key: 'address',
    meaning: 'Metadata store of the platform.',
  }),
  linkAddress: socketKey({
    section: 'link',
    key: 'listen',
    meaning: 'Where other routers open links.',
  }),
  metricsPort: integerKey({
    section: 'metrics',
    key: 'port',
    meaning: 'Port of the metrics page.',
    unit: 'port',
    min: 1,
    max: 65_535,
    defaultText: '9464',
  }),
  keyAgeLimitMs: integerKey({
    section: 'limits',
    key: 'key-age-ms',
    meaning: 'How long keys are honoured after the newest proof that they hold.',
    unit: 'ms',
    min: 500,
    max: 600_000,
    defaultText: '5000',
  }),
  coldOverFactor: decimalKey({
    section: 'limits',
    key: 'cold-over-factor',
    meaning: 'Times its rate that a cold target may get from the fleet.',
    unit: 'factor',
    min: 1,
    max: 100,
    defaultText: '1',
  }),
  coldSlackRequests: integerKey({
    section: 'limits',
    key: 'cold-slack',
    meaning: 'Requests a second beyond that.',
    unit: 'requests',
    min: 0,
    max: 10_000,
    defaultText: '0',
  }),
  repeatWindowS: decimalKey({
    section: 'limits',
    key: 'repeat-window-s',
    meaning: 'Window over which repeats of requests are counted.',
    unit: 's',
    min: 1,
    max: 3_600,
    defaultText: '10',
  }),
  repeatRatio: decimalKey({
    section: 'limits',
    key: 'repeat-ratio',
    meaning: 'Repeats for each request of a service, over the whole fleet.',
    unit: 'ratio',
    min: 0,
    max: 10,
    defaultText: '0.1',
  }),
  repeatSlack: integerKey({
    section: 'limits',
    key: 'repeat-slack',
    meaning: 'Repeats of a service within the window beyond that, over the whole fleet.',
    unit: 'repeats',
    min: 0,
    max: 100_000,
    defaultText: '10',
  }),
} satisfies KeyTable;

/** Settings of the router role. */
export type RouterSettings = ValuesOf<typeof ROUTER_KEYS>;
