import { decimalKey, integerKey, type KeyTable, socketKey, type ValuesOf } from './settingKey.js';
import { COMMON_KEYS } from './settingKeys.js';

/** Setting keys of the router role. */
export const ROUTER_KEYS = {
  nodeName: COMMON_KEYS.nodeName,
  availabilityZone: COMMON_KEYS.availabilityZone,
  stopLimitS: decimalKey({
    section: 'node',
    key: 'stop-limit-s',
    meaning: 'Time from the stop signal until the process is killed.',
    unit: 's',
    min: 1,
    max: 900,
    defaultText: '30',
  }),
  callerAddress: socketKey({
    section: 'caller',
    key: 'listen',
    meaning: 'Listen address for callers.',
  }),
  readyAddress: socketKey({
    section: 'caller',
    key: 'listen-ready',
    meaning: 'Listen address for the readiness checks of the load balancer.',
  }),
  storeAddress: socketKey({
    section: 'store',
    key: 'address',
    meaning: 'Address of the metadata store of the platform.',
  }),
  linkAddress: socketKey({
    section: 'link',
    key: 'listen',
    meaning: 'Listen address for links from other routers.',
  }),
  metricsPort: integerKey({
    section: 'metrics',
    key: 'port',
    meaning: 'HTTP port that serves the metrics.',
    unit: 'port',
    min: 1,
    max: 65_535,
    defaultText: '9464',
  }),
  keyAgeLimitMs: integerKey({
    section: 'limits',
    key: 'key-age-ms',
    meaning: 'How long bearer keys are accepted after they were last confirmed to be current.',
    unit: 'ms',
    min: 500,
    max: 600_000,
    defaultText: '5000',
  }),
  coldOverFactor: decimalKey({
    section: 'limits',
    key: 'cold-over-factor',
    meaning: 'Multiple of its cold rate that a cold target may get from all routers.',
    unit: 'factor',
    min: 1,
    max: 100,
    defaultText: '1',
  }),
  coldSlackRequests: integerKey({
    section: 'limits',
    key: 'cold-slack',
    meaning: 'Requests per second allowed beyond that.',
    unit: 'requests',
    min: 0,
    max: 10_000,
    defaultText: '0',
  }),
  repeatWindowS: decimalKey({
    section: 'limits',
    key: 'repeat-window-s',
    meaning: 'Window over which retries are counted.',
    unit: 's',
    min: 1,
    max: 3_600,
    defaultText: '10',
  }),
  repeatRatio: decimalKey({
    section: 'limits',
    key: 'repeat-ratio',
    meaning: 'Retries allowed per request of a service, over all routers.',
    unit: 'ratio',
    min: 0,
    max: 10,
    defaultText: '0.1',
  }),
  repeatSlack: integerKey({
    section: 'limits',
    key: 'repeat-slack',
    meaning: 'Retries of a service allowed beyond that within the window, over all routers.',
    unit: 'repeats',
    min: 0,
    max: 100_000,
    defaultText: '10',
  }),
} satisfies KeyTable;

/** Settings of the router role. */
export type RouterSettings = ValuesOf<typeof ROUTER_KEYS>;
