/** The debug loggers of the components, and the structured event log. */
export { createLogger, type LogOptions, type LogComponent, type Logger } from './createLogger.js';
export {
  createEventLog,
  type EventLog,
  type EventLogOptions,
  type EventValue,
  type LoggedEvent,
} from './createEventLog.js';
