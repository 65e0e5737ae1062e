/** Value of a field in the event log. */
export type EventValue = string | number | boolean | readonly (string | number)[] | undefined;

/** An event of the node, written as one line of the event log. */
export interface LoggedEvent {
  /** Name of the event: one or more fixed words joined by hyphens. */
  readonly event: string;
  /**
   * `decision` concerns a request; `belief` is a change of the node's view of the system, `process` a
   * state of the process, and `dependency` a change of the connection to the store or another router.
   */
  readonly about: 'decision' | 'belief' | 'process' | 'dependency';
  readonly requestId?: string;
  readonly outcome?: string;
  readonly [field: string]: EventValue;
}

/** Writes one structured log line; never blocks or throws. */
export type EventLog = (event: LoggedEvent) => void;

/** Options of {@link createEventLog}. */
export interface EventLogOptions {
  readonly node: string;
  /** Monotonic time in milliseconds. */
  readonly nowMs: () => number;
  /** Unix time in milliseconds, which the lines state. */
  readonly wallMs: () => number;
  /**
   * Writes a line without waiting; returns false when the buffer was full and the line was dropped.
   */
  readonly write: (line: string) => boolean;
  /** Called for each line that is dropped, by the rate limit or by a full buffer. */
  readonly onDropped: () => void;
}

/** Maximum rate of lines about requests per node; all other lines are exempt. */
const MAX_DECISIONS_PER_S = 400;

const WINDOW_MS = 1_000;

/** Levels of the lines, as pino numbers them. */
const LEVEL_INFO = 30;
const LEVEL_WARN = 40;

/** Characters of a text in a line. */
const MAX_TEXT_LENGTH = 1_000;

/**
 * Creates a rate-limited log of JSON lines. The number of skipped lines is logged with the first
 * event of a later second.
 */
export function createEventLog(opts: EventLogOptions): EventLog {
  let windowStartMs = 0;
  let decisions = 0;
  let skipped = 0;
  const write = (level: number, event: LoggedEvent): void => {
    const line = JSON.stringify(
      { level, time: opts.wallMs(), node: opts.node, ...event },
      boundText,
    );
    if (!opts.write(`${line}\n`)) {
      opts.onDropped();
    }
  };
  return (event) => {
    const nowMs = opts.nowMs();
    if (nowMs - windowStartMs >= WINDOW_MS) {
      if (skipped > 0) {
        write(LEVEL_WARN, { about: 'process', event: 'log-lines-left-out', lines: skipped });
      }
      windowStartMs = nowMs;
      decisions = 0;
      skipped = 0;
    }
    if (event.about === 'decision') {
      decisions += 1;
      if (decisions > MAX_DECISIONS_PER_S) {
        skipped += 1;
        opts.onDropped();
        return;
      }
    }
    write(LEVEL_INFO, event);
  };
}

/** Shortens a text, which may come from another process. */
function boundText(_name: string, value: unknown): unknown {
  return typeof value === 'string' && value.length > MAX_TEXT_LENGTH
    ? value.slice(0, MAX_TEXT_LENGTH)
    : value;
}
