/** Usage reports and the number of workers, towards the infrastructure provider. */
export type * from './ports.js';
export { createUsage, type Usage, type UsageOptions } from './createUsage.js';
export type { ClockEvent } from './windowClock.js';
export type { UsageReportEvent } from './usageReports.js';
export type { UsageLedger } from './usageLedger.js';
export { decodeLedger, encodeLedger } from './wireUsageLedger.js';
