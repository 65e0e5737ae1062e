import createDebug from 'debug';

/** The components that write logs; each has the fixed prefix `galenatiller:COMPONENT`. */
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

/** Writes one log line; `requestId` is empty for lines that concern no request. */
export type Logger = (opts: LogOptions) => void;

/** One log line. */
export interface LogOptions {
  readonly message: string;
  readonly requestId?: string;
}

/**
 * Creates the logger of a component; it writes to standard error when DEBUG selects the component.
 */
export function createLogger(component: LogComponent): Logger {
  const write = createDebug(`galenatiller:${component}`);
  return ({ message, requestId }) => {
    if (!write.enabled) {
      return;
    }
    write('%s%s', message, requestId ? ` request=${requestId}` : '');
  };
}
