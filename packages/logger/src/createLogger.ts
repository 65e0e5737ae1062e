import createDebug from 'debug';

/** The parts that write logs; each has the fixed prefix `galenatiller:PART`. */
export type LogComponent =
  | 'caller'
  | 'cli'
  | 'configuration'
  | 'engine'
  | 'entry'
  | 'gate'
  | 'host-list'
  | 'link'
  | 'metrics'
  | 'operator'
  | 'pool'
  | 'service'
  | 'store'
  | 'weight-store';

/** Writes one short sentence; `requestId` is empty when no request is concerned. */
export type Logger = (opts: LogOptions) => void;

/** One log line. */
export interface LogOptions {
  readonly message: string;
  readonly requestId?: string;
}

/** Makes the logger of one part; lines go to standard error when DEBUG selects the part. */
export function createLogger(part: LogComponent): Logger {
  const write = createDebug(`galenatiller:${part}`);
  return ({ message, requestId }) => {
    if (!write.enabled) {
      return;
    }
    write('%s%s', message, requestId ? ` request=${requestId}` : '');
  };
}
