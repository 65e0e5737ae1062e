/** An order to an engine to load something or to change its role. */
export interface EngineOrder {
  readonly kind: 'load-model' | 'load-adapter' | 'load-version' | 'change-role';
  /** Name of the model, adapter, version or role. */
  readonly name: string;
  /** Increases with each new holder of the lease that permits giving orders. */
  readonly fencingNumber: number;
}

/** The load that an engine reports, with a lag. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  /** Share of the prefix cache that is in use. */
  readonly cacheUsedShare: number;
  readonly version: string;
  readonly role: string;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
}
