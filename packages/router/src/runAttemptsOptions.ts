import type { AdmittedCall } from './admitCall.js';
import type { CallProgress } from './callProgress.js';
import type { CallerExchange } from './ports.js';
import type { RouterContext } from './routerContext.js';
import type { TrackedCall } from './routerStop.js';
import type { StageResultHandle } from './runStages.js';

/** What the attempts of one call need. */
export interface RunAttemptsOptions {
  readonly context: RouterContext;
  readonly exchange: CallerExchange;
  readonly admitted: AdmittedCall;
  readonly tracked: TrackedCall;
  /** Fingerprints of the call and of the parts of its prompt. */
  readonly fingerprints: readonly string[];
  readonly body: Buffer;
  readonly inputs: readonly StageResultHandle[];
  /** Progress of the call, which goes on when its stages are run again. */
  readonly progress: CallProgress;
  /** Aborts at the deadline, and when the caller disconnects from a call that may be cancelled. */
  readonly signal: AbortSignal;
  /** Called, possibly more than once, when response data shows that the inputs have been fetched. */
  readonly onInputsConsumed: () => void;
}
