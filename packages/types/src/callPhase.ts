/**
 * How far a call in progress has come. `receiving`: its body is read. `staging`: its stages run. `unsent`: it waits
 * for a target. `sent`: a target may run it. `streaming`: its response has started.
 */
export type CallPhase = 'receiving' | 'staging' | 'unsent' | 'sent' | 'streaming';
