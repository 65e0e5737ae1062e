import pino from 'pino';

/** A value in a line of the event log. */
export type EventValue = string | number | boolean | readonly (string | number)[] | undefined;

/** One decision, change of belief or state of the process. */
export interface LoggedEvent {
  /** What happened, in a fixed word or two joined by hyphens. */
  readonly event: string;
  /** `decision` touches a request, `belief` changes what the node takes for true. */
  readonly about: 'decision' | 'belief' | 'process' | 'dependency';
  readonly requestId?: string;
  readonly outcome?: string;
  readonly [field: string]: EventValue;
}

/** Writes one structured line; never blocks and never throws. */
export type EventLog = (event: LoggedEvent) => void;

/** Options of {@link createEventLog}. */
export interface EventLogOptions {
  readonly node: string;
  /** Monotonic time in milliseconds. */
  readonly nowMs: () => number;
  /** Writes a line without waiting; false when the buffer is full and the line was dropped. */
  readonly write: (line: string) => boolean;
  /** Told of each line that was dropped. */
  readonly onDropped: () => void;
}

/** Lines about requests that a node writes in a second at most; beliefs and the process are exempt. */
const DECISIONS_PER_S = 400;

const WINDOW_MS = 1_000;

/** Makes a log of JSON lines with a bounded rate; what is left out is counted in the next second. */
export function createEventLog(opts: EventLogOptions): EventLog {
  let windowStartMs = 0;
  let decisions = 0;
  let leftOut = 0;
  const stream = {
    write: (line: string): void => {
      if (!opts.write(line)) {
        opts.onDropped();
      }
    },
  };
  const logger = pino(
    { base: { node: opts.node }, timestamp: pino.stdTimeFunctions.epochTime },
    stream,
  );
  return (event) => {
    const nowMs = opts.nowMs();
    if (nowMs - windowStartMs >= WINDOW_MS) {
      if (leftOut > 0) {
        logger.warn({ about: 'process', event: 'log-lines-left-out', lines: leftOut });
      }
      windowStartMs = nowMs;
      decisions = 0;
      leftOut = 0;
    }
    if (event.about === 'decision') {
      decisions += 1;
      if (decisions > DECISIONS_PER_S) {
        leftOut += 1;
        opts.onDropped();
        return;
      }
    }
    logger.info(event);
  };
}
