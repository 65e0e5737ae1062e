/** Loggers with a fixed prefix for each part. */
export { createLogger, type LogOptions, type LogPart, type Logger } from './createLogger.js';
