/** Usage reports and the number of workers, towards the infrastructure provider. */
export type * from './ports.js';
export { createUsage, type Usage, type UsageOptions } from './createUsage.js';
export {
  createScale,
  type Scale,
  type ScaledService,
  type ScaleEvent,
  type ScaleOptions,
} from './createScale.js';
export type { ScaleReason } from './decideScale.js';
export type { ClockEvent } from './windowClock.js';
export type { UsageReportEvent } from './usageReports.js';
export type { UsageLedger } from './usageLedger.js';
export { decodeLedger, encodeLedger } from './wireUsageLedger.js';
